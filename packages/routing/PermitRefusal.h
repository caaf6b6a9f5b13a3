/// \file
/// \brief The refusal of a permit.
#pragma once

#include "routing/RefusalReason.h"

#include <cstdint>

namespace lycheereach {

/// The refusal of a permit.
struct PermitRefusal
{
    RefusalReason reason_ = RefusalReason::NotHeld;
    /// When to ask again, in milliseconds.
    std::uint32_t retryAfterMs_ = 0;

    auto operator==(const PermitRefusal &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("reason", &PermitRefusal::reason_),
                          field("retryAfterMs", &PermitRefusal::retryAfterMs_)};
    }
};

} // namespace lycheereach
