/// \file
/// \brief Error response to a caller when there is no response of an upstream.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// Error response to the caller of a forwarded request when there is no response of an upstream.
/// Statuses 429 and 503 mean that the request has not run and never will.
struct ForwardRefusal
{
    std::uint16_t status_ = 503;
    std::string reason_;
    /// When the caller may retry; nothing when it is not told.
    std::optional<Duration> retryAfter_;

    auto operator==(const ForwardRefusal &) const -> bool = default;
};

} // namespace lycheereach
