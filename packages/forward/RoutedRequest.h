/// \file
/// \brief A caller's request with the route, workspace and pool that were found for it.
#pragma once

#include "base/Ids.h"
#include "forward/ForwardRequest.h"
#include "state/HttpRoute.h"

#include <cstdint>

namespace lycheereach {

/// A caller's request with the route, workspace and pool that were found for it.
struct RoutedRequest
{
    ForwardRequest request_;
    HttpRoute route_;
    /// Of the caller's key; empty on a public route.
    WorkspaceName workspace_;
    /// Of the workspace or else the route; 0 is the most urgent.
    std::uint32_t priority_ = 5;
    /// The share of the route that the request fell to.
    PoolName service_;
    /// Serves the model that the request asks for.
    PoolName pool_;

    auto operator==(const RoutedRequest &) const -> bool = default;
};

} // namespace lycheereach
