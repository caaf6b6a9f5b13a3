/// \file
/// \brief What callers may send in one forwarded request.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// What callers may send in one forwarded request.
struct RequestLimits
{
    /// The target and all header fields, in bytes; beyond 65536 the same as that.
    std::uint32_t headBytes_ = 65536;
    std::uint32_t bodyBytes_ = 8388608;
    /// From the first byte of a request to the end of its head, in milliseconds.
    std::uint32_t headTimeoutMs_ = 40000;
    /// The longest silence within a body, in milliseconds.
    std::uint32_t idleTimeoutMs_ = 40000;

    auto operator==(const RequestLimits &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{optionalField("headBytes", &RequestLimits::headBytes_),
                          optionalField("bodyBytes", &RequestLimits::bodyBytes_),
                          optionalField("headTimeoutMs", &RequestLimits::headTimeoutMs_),
                          optionalField("idleTimeoutMs", &RequestLimits::idleTimeoutMs_)};
    }
};

} // namespace lycheereach
