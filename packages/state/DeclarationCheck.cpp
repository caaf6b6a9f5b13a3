#include "state/DeclarationCheck.h"

#include "state/FleetState.h"

#include <algorithm>
#include <limits>
#include <set>

namespace lycheereach {

namespace {

using Problems = std::vector<std::string>;

constexpr auto digestLength = std::size_t{64};
constexpr auto silencePeriods = 3U;

auto at(const char *list, std::size_t position) -> std::string
{
    return std::string("/") + list + "/" + std::to_string(position);
}

template <typename Items, typename NameOf>
auto checkNames(const Items &items, const char *list, NameOf nameOf, Problems &problems) -> void
{
    auto seen = std::set<std::string>{};
    for (auto position = std::size_t{0}; position < items.size(); ++position) {
        const std::string &name = nameOf(items[position]);
        if (name.empty())
            problems.push_back(at(list, position) + ": the name is empty; give it one");
        else if (!seen.insert(name).second)
            problems.push_back(at(list, position) + ": '" + name + "' stands twice; remove one");
    }
}

auto checkZoneKnown(const Declaration &declaration, const ZoneName &zone, const std::string &path,
                    Problems &problems) -> void
{
    const auto &zones = declaration.zones_;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
        problems.push_back(path + ": unknown zone '" + zone.text() + "'; add it to /zones");
}

auto checkPolicy(const Policy &policy, const std::string &path, Problems &problems) -> void
{
    const auto positive = [&](std::uint32_t value, const char *key) {
        if (value == 0)
            problems.push_back(path + "/" + key + ": must be at least 1");
    };
    positive(policy.announceEveryMs_, "announceEveryMs");
    positive(policy.coldLimit_, "coldLimit");
    positive(policy.warmLimit_, "warmLimit");
    positive(policy.rampCompletions_, "rampCompletions");
    positive(policy.loadsAtOnce_, "loadsAtOnce");
    positive(policy.requestTimeoutMs_, "requestTimeoutMs");
    positive(policy.attemptLimit_, "attemptLimit");
    positive(policy.permitTtlMs_, "permitTtlMs");
    if (policy.silenceTimeoutMs_ < silencePeriods * policy.announceEveryMs_)
        problems.push_back(path
                           + "/silenceTimeoutMs: must be at least three times announceEveryMs");
    if (policy.coldLimit_ > policy.warmLimit_)
        problems.push_back(path + "/coldLimit: must not exceed warmLimit");
}

auto checkPools(const Declaration &declaration, Problems &problems) -> void
{
    const auto &pools = declaration.pools_;
    auto models = std::set<std::string>{};
    for (auto position = std::size_t{0}; position < pools.size(); ++position) {
        const auto &pool = pools[position];
        const auto path = at("pools", position);
        if (pool.instancesPerGroup_ == 0)
            problems.push_back(path + "/instancesPerGroup: must be at least 1");
        if (pool.model_.empty())
            problems.push_back(path + "/model: is empty; name the model that callers ask for");
        else if (!models.insert(pool.model_).second)
            problems.push_back(path + "/model: '" + pool.model_ + "' is served by two pools");
        for (const auto &zone : pool.zones_)
            checkZoneKnown(declaration, zone, path + "/zones", problems);
        if (findService(declaration, pool.name_) != nullptr)
            problems.push_back(path + "/name: '" + pool.name_.text() + "' is also a service");
    }
}

auto checkServices(const Declaration &declaration, Problems &problems) -> void
{
    const auto &services = declaration.services_;
    for (auto position = std::size_t{0}; position < services.size(); ++position) {
        for (const auto &route : services[position].routes_) {
            if (!route.path_.starts_with("/"))
                problems.push_back(at("services", position) + "/routes: the path '" + route.path_
                                   + "' must begin with '/'");
        }
    }
}

auto checkProfiles(const Declaration &declaration, Problems &problems) -> void
{
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    const auto &profiles = declaration.profiles_;
    for (auto position = std::size_t{0}; position < profiles.size(); ++position) {
        const auto rate = profiles[position].coldPerSecond_;
        if (!(rate >= 0 && rate <= largest))
            problems.push_back(at("profiles", position) + "/coldPerSecond: must be from 0 to "
                               + std::to_string(largest));
    }
}

auto checkRequestLimits(const RequestLimits &limits, Problems &problems) -> void
{
    const auto positive = [&](std::uint32_t value, const char *key) {
        if (value == 0)
            problems.push_back(std::string("/requestLimits/") + key + ": must be at least 1");
    };
    positive(limits.headBytes_, "headBytes");
    positive(limits.bodyBytes_, "bodyBytes");
    positive(limits.headTimeoutMs_, "headTimeoutMs");
    positive(limits.idleTimeoutMs_, "idleTimeoutMs");
}

auto isDigest(const std::string &text) -> bool
{
    const auto hexadecimal
        = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digestLength && std::all_of(text.begin(), text.end(), hexadecimal);
}

auto checkWorkspaces(const Declaration &declaration, Problems &problems) -> void
{
    const auto &workspaces = declaration.workspaces_;
    auto digests = std::set<std::string>{};
    for (auto position = std::size_t{0}; position < workspaces.size(); ++position) {
        const auto &workspace = workspaces[position];
        const auto path = at("workspaces", position);
        if (workspace.weight_ == 0)
            problems.push_back(path + "/weight: must be at least 1");
        if (workspace.requestsPerSecond_ && *workspace.requestsPerSecond_ <= 0)
            problems.push_back(path + "/requestsPerSecond: must be above 0; leave it out for none");
        if (workspace.burst_ && *workspace.burst_ < 1)
            problems.push_back(path + "/burst: must be at least 1");
        for (const auto &digest : workspace.keyDigests_) {
            if (!isDigest(digest))
                problems.push_back(path + "/keyDigests: needs 64 lower-case hexadecimal digits");
            else if (!digests.insert(digest).second)
                problems.push_back(path + "/keyDigests: a key stands twice");
        }
    }
}

/// Whether both set one tunable to different values.
auto contradict(const PolicyOverride &first, const PolicyOverride &second) -> bool
{
    const auto differ = [&](const auto &entry) {
        const auto &left = first.*(entry.member_);
        const auto &right = second.*(entry.member_);
        return left && right && *left != *right;
    };
    return std::apply([&](const auto &...entry) { return (differ(entry) || ...); },
                      PolicyOverride::fields());
}

auto checkException(const Declaration &declaration, std::size_t position, Problems &problems)
    -> void
{
    const auto &rule = declaration.exceptions_[position];
    const auto path = at("exceptions", position);
    const auto written = [](char c) { return c != ' ' && c != '\t' && c != '\n'; };
    if (std::none_of(rule.reason_.begin(), rule.reason_.end(), written))
        problems.push_back(path + "/reason: is empty; write why the defaults do not fit here");
    if (rule.set_ == PolicyOverride{})
        problems.push_back(path + "/set: sets nothing; name a tunable or remove the exception");
    if (rule.match_.zone_)
        checkZoneKnown(declaration, *rule.match_.zone_, path + "/match/zone", problems);
    const auto &pool = rule.match_.pool_;
    if (pool && findPool(declaration, *pool) == nullptr
        && findService(declaration, *pool) == nullptr)
        problems.push_back(path + "/match/pool: unknown pool '" + pool->text() + "'");
    for (auto earlier = std::size_t{0}; earlier < position; ++earlier) {
        const auto &other = declaration.exceptions_[earlier];
        if (other.match_ == rule.match_ && contradict(other.set_, rule.set_))
            problems.push_back(path + ": contradicts " + at("exceptions", earlier)
                               + ", which matches the same; keep one value");
    }
}

auto checkResolvedPolicies(const Declaration &declaration, Problems &problems) -> void
{
    const auto &rules = declaration.exceptions_;
    for (auto position = std::size_t{0}; position < rules.size(); ++position) {
        const auto &match = rules[position].match_;
        const auto policy
            = policyFor(declaration, match.zone_.value_or(ZoneName()),
                        match.pool_.value_or(PoolName()), match.upstream_.value_or(UpstreamId()));
        checkPolicy(policy, at("exceptions", position) + "/set", problems);
    }
}

auto hasTargets(const Declaration &declaration, const PoolName &name) -> bool
{
    const auto draws = [&](const Pool &pool) { return enginesOf(pool) == name; };
    return findService(declaration, name) != nullptr
        || std::any_of(declaration.pools_.begin(), declaration.pools_.end(), draws);
}

auto checkShares(const Declaration &declaration, const HttpRoute &route, const std::string &path,
                 Problems &problems) -> void
{
    auto total = std::uint64_t{0};
    for (const auto &share : route.shares_) {
        total += share.weight_;
        if (!hasTargets(declaration, share.service_))
            problems.push_back(path + "/shares: unknown service '" + share.service_.text() + "'");
    }
    if (total == 0)
        problems.push_back(path + "/shares: the weights add up to 0; give one share a weight");
}

auto checkRoutes(const Declaration &declaration, Problems &problems) -> void
{
    auto seen = std::set<std::pair<std::string, std::string>>{};
    for (auto position = std::size_t{0}; position < declaration.routes_.size(); ++position) {
        const auto &route = declaration.routes_[position];
        const auto path = at("routes", position);
        if (!seen.emplace(route.host_, route.pathPrefix_).second)
            problems.push_back(path + ": host '" + route.host_ + "' and prefix '"
                               + route.pathPrefix_ + "' stand twice; remove one");
        if (!route.pathPrefix_.starts_with("/") || !route.pathPrefix_.ends_with("/"))
            problems.push_back(path + "/pathPrefix: must begin and end with '/'");
        if (route.timeoutMs_ == 0)
            problems.push_back(path + "/timeoutMs: must be at least 1");
        checkShares(declaration, route, path, problems);
    }
}

} // namespace

auto checkDeclaration(const Declaration &declaration) -> std::vector<std::string>
{
    auto problems = Problems{};
    const auto ownName = [](const auto &item) -> const std::string & { return item.name_.text(); };
    const auto itself = [](const ZoneName &zone) -> const std::string & { return zone.text(); };
    checkNames(declaration.zones_, "zones", itself, problems);
    checkNames(declaration.pools_, "pools", ownName, problems);
    checkNames(declaration.services_, "services", ownName, problems);
    checkNames(declaration.workspaces_, "workspaces", ownName, problems);
    checkPolicy(declaration.defaults_, "/defaults", problems);
    if (declaration.claimRetentionHours_ == 0)
        problems.push_back("/claimRetentionHours: must be at least 1");
    checkPools(declaration, problems);
    checkServices(declaration, problems);
    checkWorkspaces(declaration, problems);
    checkProfiles(declaration, problems);
    checkRoutes(declaration, problems);
    if (declaration.requestLimits_)
        checkRequestLimits(*declaration.requestLimits_, problems);
    for (auto position = std::size_t{0}; position < declaration.exceptions_.size(); ++position)
        checkException(declaration, position, problems);
    checkResolvedPolicies(declaration, problems);
    return problems;
}

} // namespace lycheereach
