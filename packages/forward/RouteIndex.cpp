#include "forward/RouteIndex.h"

#include "requests/RequestDigest.h"
#include "state/Declaration.h"
#include "state/FleetState.h"

#include <algorithm>

namespace lycheereach {

RouteIndex::RouteIndex(const Declaration &declaration)
    : workspaces_(declaration.workspaces_)
{
    for (const auto &route : declaration.routes_)
        routes_[route.host_].push_back(route);
    for (auto &[host, routes] : routes_) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const HttpRoute &left, const HttpRoute &right) {
                             return left.pathPrefix_.size() > right.pathPrefix_.size();
                         });
    }
    for (auto position = std::size_t{0}; position < workspaces_.size(); ++position) {
        for (const auto &digest : workspaces_[position].keyDigests_)
            workspaceByKeyDigest_[digest] = position;
    }
    for (const auto &pool : declaration.pools_) {
        poolByServiceAndModel_[{enginesOf(pool), pool.model_}] = pool.name_;
        isEngineService_[enginesOf(pool)] = true;
        auto &times = poolTimes_[pool.name_];
        times.timeFactor_ = pool.pace_;
        if (const auto *profile = findProfile(declaration, enginesOf(pool))) {
            times.engineTimes_ = profile->times_;
            times.slots_ = profile->slots_;
        }
    }
}

auto RouteIndex::findRoute(std::string_view host, std::string_view target) const
    -> const HttpRoute *
{
    const auto found = routes_.find(host);
    if (found == routes_.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto &route : found->second) {
        if (path.starts_with(route.pathPrefix_))
            return &route;
    }
    return nullptr;
}

auto RouteIndex::findWorkspace(const std::string &key) const -> const Workspace *
{
    const auto found = workspaceByKeyDigest_.find(sha256(key));
    return found == workspaceByKeyDigest_.end() ? nullptr : &workspaces_[found->second];
}

auto RouteIndex::findPool(const PoolName &service, const std::string &model) const
    -> std::optional<PoolName>
{
    if (!isEngineService_.contains(service))
        return service;
    const auto found = poolByServiceAndModel_.find({service, model});
    if (found == poolByServiceAndModel_.end())
        return std::nullopt;
    return found->second;
}

auto RouteIndex::estimateGroupSeconds(const PoolName &pool, std::uint64_t promptTokens,
                                      std::uint64_t outputTokens) const -> double
{
    const auto found = poolTimes_.find(pool);
    if (found == poolTimes_.end())
        return 0;
    const auto &times = found->second;
    return times.timeFactor_
        * times.engineTimes_.groupSeconds(promptTokens, outputTokens, times.slots_);
}

} // namespace lycheereach
