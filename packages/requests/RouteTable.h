/// \file
/// \brief Which calls go where, and which of them may be repeated.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "state/Declaration.h"

#include <map>
#include <string>
#include <string_view>

namespace lycheereach {

/// Where a call goes.
struct RouteMatch
{
    /// Empty for chat completions, whose model picks the pool.
    PoolName service_;
    /// Path and query at the upstream.
    std::string target_;
    bool repeatable_ = false;

    auto operator==(const RouteMatch &) const -> bool = default;
};

/// The routes of a declaration. Chat completions may be repeated. Of a service the longest matching
/// path decides; GET and HEAD may be repeated unless declared otherwise, other methods may not.
class RouteTable
{
public:
    explicit RouteTable(const Declaration &declaration);

    /// The route of a call; Error::NotFound names the services there are.
    [[nodiscard]] auto match(std::string_view method, std::string_view target) const
        -> Result<RouteMatch>;
    /// The pool that serves \a model; Error::NotFound names the models there are.
    [[nodiscard]] auto poolOf(const std::string &model) const -> Result<PoolName>;

private:
    std::map<std::string, std::vector<ServiceRoute>> services_;
    std::map<std::string, PoolName> models_;
};

} // namespace lycheereach
