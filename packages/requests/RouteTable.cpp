#include "requests/RouteTable.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto chatPath = std::string_view("/v1/chat/completions");
constexpr auto servicePrefix = std::string_view("/services/");

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

/// Whether the path segments of \a prefix are the first ones of \a path.
auto isPathPrefix(std::string_view prefix, std::string_view path) -> bool
{
    while (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

auto acceptsMethod(const ServiceRoute &route, std::string_view method) -> bool
{
    return route.methods_.empty()
        || std::find(route.methods_.begin(), route.methods_.end(), method) != route.methods_.end();
}

auto isRepeatable(const std::vector<ServiceRoute> &routes, std::string_view method,
                  std::string_view path) -> bool
{
    auto repeatable = method == "GET" || method == "HEAD";
    auto longest = std::size_t{0};
    for (const auto &route : routes) {
        const auto length = route.path_.size() + 1;
        if (length <= longest || !acceptsMethod(route, method) || !isPathPrefix(route.path_, path))
            continue;
        longest = length;
        repeatable = route.repeatable_;
    }
    return repeatable;
}

template <typename Map>
auto joinKeys(const Map &map) -> std::string
{
    auto names = std::string{};
    for (const auto &[name, ignored] : map)
        names += (names.empty() ? "" : ", ") + name;
    return names.empty() ? "none" : names;
}

auto notFound(const std::string &message) -> Failure
{
    return {Error::NotFound, message, Verdict::NotRun, std::nullopt};
}

} // namespace

RouteTable::RouteTable(const Declaration &declaration)
{
    for (const auto &service : declaration.services_)
        routesByService_[service.name_.text()] = service.routes_;
    for (const auto &pool : declaration.pools_)
        poolByModel_[pool.model_] = pool.name_;
}

auto RouteTable::match(std::string_view method, std::string_view target) const -> Result<RouteMatch>
{
    if (pathOf(target) == chatPath) {
        if (method != "POST")
            return notFound("chat completions take POST only");
        return RouteMatch{PoolName(), std::string(target), true};
    }
    if (!target.starts_with(servicePrefix))
        return notFound("no such path; there are /v1/chat/completions and /services/NAME/");
    target.remove_prefix(servicePrefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    const auto name = std::string(target.substr(0, end));
    const auto service = routesByService_.find(name);
    if (service == routesByService_.end())
        return notFound("no service '" + name + "'; there are: " + joinKeys(routesByService_));
    auto upstreamTarget = std::string(target.substr(end));
    if (!upstreamTarget.starts_with('/'))
        upstreamTarget.insert(0, "/");
    const auto repeatable = isRepeatable(service->second, method, pathOf(upstreamTarget));
    return RouteMatch{PoolName(name), std::move(upstreamTarget), repeatable};
}

auto RouteTable::poolOf(const std::string &model) const -> Result<PoolName>
{
    const auto found = poolByModel_.find(model);
    if (found == poolByModel_.end())
        return notFound("no pool serves the model '" + model
                        + "'; there are: " + joinKeys(poolByModel_));
    return found->second;
}

} // namespace lycheereach
