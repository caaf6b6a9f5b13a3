/// \file
/// \brief Status and headers of an upstream's response to a forwarded request.
#pragma once

#include "base/Ids.h"
#include "transport/HttpHeaders.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// The load that an upstream reports in its response, in requests.
struct ReportedLoad
{
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    /// Requests that the upstream runs at once.
    std::uint32_t slots_ = 0;

    auto operator==(const ReportedLoad &) const -> bool = default;
};

/// Status and headers of an upstream's response to a forwarded request, as parsed by the dialect.
struct ForwardResponseHead
{
    std::uint16_t status_ = 0;
    /// Headers passed on to the caller, without the hop-by-hop ones.
    HttpHeaders headers_;
    /// The request id that the upstream echoed.
    RequestId echoedRequestId_;
    /// Whether the upstream says that it did not run the request and never will.
    bool notRun_ = false;
    /// Whether another instance than the intended one responded.
    bool isOtherInstance_ = false;
    /// Whether the response carries the upstream's signature header.
    bool hasSignature_ = false;
    /// Nothing when the upstream reports no load.
    std::optional<ReportedLoad> load_;

    auto operator==(const ForwardResponseHead &) const -> bool = default;
};

} // namespace lycheereach
