#include "groups/FreeInstances.h"

#include <algorithm>

namespace lycheereach {

auto isMemberLost(const FleetState &state, const UpstreamId &member) -> bool
{
    const auto found = state.upstreams_.find(member);
    return found == state.upstreams_.end() || found->second.lost_;
}

auto hasWeights(const Announcement &announced, const std::string &model) -> bool
{
    const auto &loaded = announced.loaded_;
    return std::find(loaded.begin(), loaded.end(), model) != loaded.end();
}

auto allowsZone(const Pool &pool, const ZoneName &zone) -> bool
{
    const auto &zones = pool.zones_;
    return zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end();
}

auto freeInstances(const FleetState &state, const Pool &pool) -> std::vector<FreeInstance>
{
    auto free = std::vector<FreeInstance>{};
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto &announced = upstream.announced_;
        if (announced.pool_ != enginesOf(pool) || announced.kind_ != UpstreamKind::Engine)
            continue;
        if (!mayTakeWork(upstream) || !announced.group_.empty() || state.groupOf_.contains(id))
            continue;
        if (isZoneOut(state, announced.zone_) || !allowsZone(pool, announced.zone_))
            continue;
        const auto policy = policyFor(state.declaration_, announced.zone_, pool.name_, id);
        free.push_back({id, announced.zone_, announced.fabricDomain_, announced.accelerators_,
                        hasWeights(announced, pool.model_), false, policy.acrossDomains_});
    }
    return free;
}

} // namespace lycheereach
