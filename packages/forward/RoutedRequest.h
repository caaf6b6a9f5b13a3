/// \file
/// \brief A caller's request with its route, workspace, service and pool.
#pragma once

#include "base/Ids.h"
#include "forward/ForwardRequest.h"
#include "state/HttpRoute.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace lycheereach {

/// A caller's request with its route, workspace, service and pool.
struct RoutedRequest
{
    ForwardRequest request_;
    HttpRoute route_;
    /// The workspace of the caller's key; empty on a public route.
    WorkspaceName workspace_;
    /// The priority of the workspace if it has one, otherwise of the route; 0 is the most urgent.
    std::uint32_t priority_ = 5;
    /// The service picked at random from the weighted shares of the route.
    PoolName service_;
    /// The pool that serves the requested model, or the plain service itself.
    PoolName pool_;

    auto operator==(const RoutedRequest &) const -> bool = default;
};

/// When the time of \a request on \a route is over: the shorter of what its caller waits and what
/// the route allows.
inline auto deadlineOf(const ForwardRequest &request, const HttpRoute &route) -> MonotonicTime
{
    auto timeout = Duration(std::chrono::milliseconds(route.timeoutMs_));
    if (request.callerTimeout_)
        timeout = std::min(timeout, *request.callerTimeout_);
    return request.arrivedAt_ + timeout;
}

} // namespace lycheereach
