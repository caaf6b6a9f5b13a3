/// \file
/// \brief What the caller of a forwarded request is told when there is no answer of an upstream.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// What the caller of a forwarded request is told when there is no answer of an upstream. Statuses
/// 429 and 503 say that the request has not run and never will.
struct ForwardRefusal
{
    std::uint16_t status_ = 503;
    std::string reason_;
    /// When to come back.
    std::optional<Duration> retryAfter_;

    auto operator==(const ForwardRefusal &) const -> bool = default;
};

} // namespace lycheereach
