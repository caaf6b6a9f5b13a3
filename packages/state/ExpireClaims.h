/// \file
/// \brief Command: forget claims older than the retention.
#pragma once

#include "base/JsonCodec.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

struct FleetState;

/// Command: forget claims older than the retention.
struct ExpireClaims
{
    /// Wall time in milliseconds since 1970.
    std::int64_t olderThanMs_ = 0;

    auto operator==(const ExpireClaims &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("olderThanMs", &ExpireClaims::olderThanMs_)};
    }
};

/// The command that forgets the claims that are older than the retention at \a now; nothing when
/// there are none.
auto expiryOf(const FleetState &state, WallTime now) -> std::optional<ExpireClaims>;

} // namespace lycheereach
