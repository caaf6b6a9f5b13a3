#include "forward/RouteIndex.h"

#include "requests/Fingerprint.h"
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
            byDigest_[digest] = position;
    }
    for (const auto &pool : declaration.pools_) {
        pools_[{enginesOf(pool), pool.model_}] = pool.name_;
        hasEngines_[enginesOf(pool)] = true;
    }
}

auto RouteIndex::match(std::string_view host, std::string_view target) const -> const HttpRoute *
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

auto RouteIndex::workspaceOf(const std::string &key) const -> const Workspace *
{
    const auto found = byDigest_.find(sha256(key));
    return found == byDigest_.end() ? nullptr : &workspaces_[found->second];
}

auto RouteIndex::poolOf(const PoolName &service, const std::string &model) const
    -> std::optional<PoolName>
{
    if (!hasEngines_.contains(service))
        return service;
    const auto found = pools_.find({service, model});
    if (found == pools_.end())
        return std::nullopt;
    return found->second;
}

} // namespace lycheereach
