#include "groups/SparePlanner.h"

#include "groups/FreeInstances.h"
#include "state/FleetState.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// An engine that takes longer to get ready in its standby group is told to leave it; engines get
/// ready from the weights on their host in less than two seconds.
constexpr auto preparationLimit = std::chrono::seconds(5);

using DomainPool = std::pair<FabricDomain, PoolName>;

/// Members that groups of each pool have in each fabric domain.
auto membersByDomain(const FleetState &state) -> std::map<DomainPool, std::size_t>
{
    auto members = std::map<DomainPool, std::size_t>{};
    for (const auto &[id, group] : state.groups_) {
        for (const auto &member : group.members_) {
            const auto upstream = state.upstreams_.find(member);
            if (upstream != state.upstreams_.end())
                ++members[{upstream->second.announced_.fabricDomain_, group.pool_}];
        }
    }
    return members;
}

auto poolsOf(const FleetState &state, const PoolName &engines) -> std::vector<const Pool *>
{
    auto pools = std::vector<const Pool *>{};
    for (const auto &pool : state.declaration_.pools_) {
        if (enginesOf(pool) == engines)
            pools.push_back(&pool);
    }
    return pools;
}

/// The first of \a pools whose model \a announced holds.
auto heldPool(const std::vector<const Pool *> &pools, const Announcement &announced) -> const Pool *
{
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const Pool *pool) {
        return hasWeights(announced, pool->model_);
    });
    return found == pools.end() ? nullptr : *found;
}

} // namespace

auto SparePlanner::standbyGroup(const UpstreamId &upstream) -> GroupId
{
    return GroupId("standby-" + upstream.text());
}

auto SparePlanner::observe(const FleetState &state, MonotonicTime now) -> void
{
    std::erase_if(known_, [&](const auto &item) { return !state.upstreams_.contains(item.first); });
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto &announced = upstream.announced_;
        auto &known = known_[id];
        if (known.incarnation_ != announced.incarnation_)
            known = Known{.incarnation_ = announced.incarnation_};
        const auto isStandby = announced.group_ == standbyGroup(id);
        const auto isPreparing = isStandby && announced.phase_ == MemberPhase::Loading;
        if (isPreparing && !std::exchange(known.isPreparing_, true))
            known.preparingSince_ = now;
        known.isPreparing_ = isPreparing;
        const auto isReady
            = announced.phase_ == MemberPhase::Ready || announced.phase_ == MemberPhase::Open;
        if (!isReady)
            continue;
        const auto group = state.groups_.find(announced.group_);
        if (group != state.groups_.end()) {
            if (const auto *pool = findPool(state.declaration_, group->second.pool_))
                known.model_ = pool->model_;
        } else if (isStandby && !announced.loaded_.empty()) {
            known.model_ = announced.loaded_.back();
        }
    }
}

auto SparePlanner::isPreparing(const Upstream &upstream, MonotonicTime now) const -> bool
{
    const auto &announced = upstream.announced_;
    const auto found = known_.find(announced.upstream_);
    return found != known_.end() && found->second.incarnation_ == announced.incarnation_
        && found->second.isPreparing_ && now - found->second.preparingSince_ < preparationLimit;
}

auto SparePlanner::isPrepared(const Upstream &upstream, const std::string &model) const -> bool
{
    const auto found = known_.find(upstream.announced_.upstream_);
    return found != known_.end() && found->second.model_ == model;
}

auto SparePlanner::plan(const FleetState &state, const PoolName &engines,
                        const std::vector<FreeInstance> &spares) -> std::vector<SpareStep>
{
    const auto pools = poolsOf(state, engines);
    const auto members = membersByDomain(state);
    auto held = std::map<DomainPool, std::size_t>{};
    for (const auto &spare : spares) {
        if (const auto *pool = heldPool(pools, state.upstreams_.at(spare.upstream_).announced_))
            ++held[{spare.domain_, pool->name_}];
    }
    // The members that a spare stands for, less for each spare that stands for them already: the
    // loss of one member is far more likely than that of several before the next spare is ready.
    const auto worth = [&](const FabricDomain &domain, const Pool &pool) {
        const auto key = DomainPool(domain, pool.name_);
        const auto served = members.contains(key) ? members.at(key) : 0;
        const auto others = static_cast<double>(held[key] + 1);
        return static_cast<double>(served) / (others * others);
    };
    auto steps = std::vector<SpareStep>{};
    for (const auto &spare : spares) {
        const auto &upstream = state.upstreams_.at(spare.upstream_);
        if (const auto *pool = heldPool(pools, upstream.announced_)) {
            if (!isPrepared(upstream, pool->model_))
                steps.push_back({spare.upstream_, SpareStep::Kind::Prepare, pool->model_});
            continue;
        }
        const auto best = std::max_element(
            pools.begin(), pools.end(), [&](const Pool *left, const Pool *right) {
                return worth(spare.domain_, *left) < worth(spare.domain_, *right);
            });
        if (best == pools.end())
            continue;
        ++held[{spare.domain_, (*best)->name_}];
        steps.push_back({spare.upstream_, SpareStep::Kind::Load, (*best)->model_});
    }
    return steps;
}

} // namespace lycheereach
