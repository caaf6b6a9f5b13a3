/// \file
/// \brief Routes requests by path and model.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "state/Declaration.h"

#include <map>
#include <string>
#include <string_view>

namespace lycheereach {

/// The route of one request.
struct RouteMatch
{
    /// Empty for chat completions; poolOf() maps their model to a pool.
    PoolName service_;
    /// Path and query of the request to the upstream.
    std::string upstreamTarget_;
    /// Whether the request may run more than once.
    bool repeatable_ = false;

    auto operator==(const RouteMatch &) const -> bool = default;
};

/// The routes of a declaration. Chat completions are repeatable. For a service the declared route
/// with the longest matching path decides; without one GET and HEAD are repeatable and other
/// methods are not.
class RouteTable
{
public:
    explicit RouteTable(const Declaration &declaration);

    /// The route of a request with this HTTP method and request target; Error::NotFound lists the
    /// known services.
    [[nodiscard]] auto match(std::string_view method, std::string_view target) const
        -> Result<RouteMatch>;
    /// The pool that serves \a model; Error::NotFound lists the known models.
    [[nodiscard]] auto poolOf(const std::string &model) const -> Result<PoolName>;

private:
    std::map<std::string, std::vector<ServiceRoute>> routesByService_;
    std::map<std::string, PoolName> poolByModel_;
};

} // namespace lycheereach
