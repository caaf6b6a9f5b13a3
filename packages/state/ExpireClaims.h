/// \file
/// \brief Command: forget claims older than the retention.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

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

} // namespace lycheereach
