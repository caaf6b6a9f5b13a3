#include "groups/SparePlanner.h"

#include "groups/FreeInstances.h"
#include "state/FleetState.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheereach {

namespace {

/// An engine that takes longer to get ready in its standby group is ordered to leave it. Engines
/// get ready from the weights on their host in less than two seconds.
constexpr auto preparationTimeout = std::chrono::seconds(5);

using DomainPool = std::pair<FabricDomain, PoolName>;

/// Counts the members of groups, and the spares that could replace them, by fabric domain and pool.
class SpareCoverage
{
public:
    explicit SpareCoverage(const FleetState &state)
    {
        for (const auto &[id, group] : state.groups_) {
            for (const auto &member : group.members_) {
                const auto upstream = state.upstreams_.find(member);
                if (upstream != state.upstreams_.end())
                    ++members_[{upstream->second.announced_.fabricDomain_, group.pool_}];
            }
        }
    }

    /// Counts one more spare of \a domain that can join groups of \a pool.
    auto addSpare(const FabricDomain &domain, const Pool &pool) -> void
    {
        ++spares_[{domain, pool.name_}];
    }

    /// How many more spares of \a domain are needed to form a group of \a pool; 0 when there are
    /// enough.
    [[nodiscard]] auto missingSpares(const FabricDomain &domain, const Pool &pool) const
        -> std::size_t
    {
        const auto found = spares_.find({domain, pool.name_});
        const auto spareCount = found == spares_.end() ? 0 : found->second;
        return std::max<std::size_t>(spareCount, pool.instancesPerGroup_) - spareCount;
    }

    [[nodiscard]] auto hasMembers(const FabricDomain &domain, const Pool &pool) const -> bool
    {
        return members_.contains({domain, pool.name_});
    }

    /// The benefit of one more spare: the number of members that it could replace, reduced for
    /// each spare that could replace them already. The loss of one member is far more likely than
    /// that of several before the next spare is ready.
    [[nodiscard]] auto marginalBenefit(const FabricDomain &domain, const Pool &pool) const -> double
    {
        const auto count = [&](const std::map<DomainPool, std::size_t> &counts) {
            const auto found = counts.find({domain, pool.name_});
            return found == counts.end() ? 0.0 : static_cast<double>(found->second);
        };
        const auto sparesWithNew = count(spares_) + 1;
        return count(members_) / (sparesWithNew * sparesWithNew);
    }

private:
    std::map<DomainPool, std::size_t> members_;
    std::map<DomainPool, std::size_t> spares_;
};

auto poolsSharing(const FleetState &state, const PoolName &engines) -> std::vector<const Pool *>
{
    auto pools = std::vector<const Pool *>{};
    for (const auto &pool : state.declaration_.pools_) {
        if (enginesOf(pool) == engines)
            pools.push_back(&pool);
    }
    return pools;
}

/// The first of \a pools whose model's weights the upstream holds.
auto loadedPool(const std::vector<const Pool *> &pools, const Announcement &announced)
    -> const Pool *
{
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const Pool *pool) {
        return hasWeights(announced, pool->model_);
    });
    return found == pools.end() ? nullptr : *found;
}

/// How many members of a group of \a ownPool are to hold the weights of \a other: as many as groups
/// of \a other can use of the members that remain after the loss of one. The rest keep the weights
/// of their own model, with which they join again after a restart.
auto secondModelHolders(const Pool &ownPool, const Pool &other) -> std::size_t
{
    const auto size = std::size_t{ownPool.instancesPerGroup_};
    const auto otherSize = std::max<std::size_t>(other.instancesPerGroup_, 1);
    return size <= otherSize ? size : (size - 1) / otherSize * otherSize;
}

/// Appends the loads of second models onto the members of \a group, a group of \a ownPool.
auto planGroupMemberLoads(const FleetState &state, const Group &group, const Pool &ownPool,
                          const std::vector<const Pool *> &pools, SpareCoverage &coverage,
                          std::vector<SpareStep> &steps) -> void
{
    auto holders = std::map<PoolName, std::size_t>{};
    for (const auto &member : group.members_) {
        const auto upstream = state.upstreams_.find(member);
        if (upstream == state.upstreams_.end() || !mayTakeWork(upstream->second))
            return;
        for (const auto *pool : pools)
            holders[pool->name_] += hasWeights(upstream->second.announced_, pool->model_) ? 1 : 0;
    }
    for (const auto &member : group.members_) {
        const auto &announced = state.upstreams_.at(member).announced_;
        const auto holdsOther = std::any_of(pools.begin(), pools.end(), [&](const Pool *pool) {
            return pool != &ownPool && hasWeights(announced, pool->model_);
        });
        const auto &domain = announced.fabricDomain_;
        const Pool *best = nullptr;
        for (const auto *pool : pools) {
            const auto isWanted = pool != &ownPool && allowsZone(*pool, group.zone_)
                && holders[pool->name_] < secondModelHolders(ownPool, *pool);
            const auto isBetter = best == nullptr
                || coverage.marginalBenefit(domain, *best)
                    < coverage.marginalBenefit(domain, *pool);
            if (isWanted && isBetter)
                best = pool;
        }
        if (holdsOther || best == nullptr)
            continue;
        ++holders[best->name_];
        coverage.addSpare(domain, *best);
        steps.push_back({member, SpareStep::Kind::Load, best->model_});
    }
}

} // namespace

auto SparePlanner::standbyGroup(const UpstreamId &upstream) -> GroupId
{
    return GroupId("standby-" + upstream.text());
}

auto SparePlanner::observe(const FleetState &state, MonotonicTime now) -> void
{
    std::erase_if(histories_,
                  [&](const auto &item) { return !state.upstreams_.contains(item.first); });
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto &announced = upstream.announced_;
        auto &history = histories_[id];
        if (history.incarnation_ != announced.incarnation_)
            history = EngineHistory{.incarnation_ = announced.incarnation_};
        const auto isStandby = announced.group_ == standbyGroup(id);
        const auto isPreparing = isStandby && announced.phase_ == MemberPhase::Loading;
        if (isPreparing && !std::exchange(history.isPreparing_, true))
            history.preparingSince_ = now;
        history.isPreparing_ = isPreparing;
        const auto isReady
            = announced.phase_ == MemberPhase::Ready || announced.phase_ == MemberPhase::Open;
        if (!isReady)
            continue;
        const auto group = state.groups_.find(announced.group_);
        if (group != state.groups_.end()) {
            if (const auto *pool = findPool(state.declaration_, group->second.pool_))
                history.lastModel_ = pool->model_;
        } else if (isStandby && !announced.loaded_.empty()) {
            history.lastModel_ = announced.loaded_.back();
        }
    }
}

auto SparePlanner::isPreparing(const Upstream &upstream, MonotonicTime now) const -> bool
{
    const auto &announced = upstream.announced_;
    const auto found = histories_.find(announced.upstream_);
    return found != histories_.end() && found->second.incarnation_ == announced.incarnation_
        && found->second.isPreparing_ && now - found->second.preparingSince_ < preparationTimeout;
}

auto SparePlanner::lastModel(const Upstream &upstream) const -> std::string
{
    const auto &announced = upstream.announced_;
    const auto found = histories_.find(announced.upstream_);
    const auto isCurrent
        = found != histories_.end() && found->second.incarnation_ == announced.incarnation_;
    return isCurrent ? found->second.lastModel_ : std::string();
}

auto SparePlanner::isPrepared(const Upstream &upstream, const std::string &model) const -> bool
{
    return !model.empty() && lastModel(upstream) == model;
}

auto SparePlanner::canJoinWithoutLoad(const Upstream &upstream, const Pool &pool) const -> bool
{
    return hasWeights(upstream.announced_, pool.model_) || isPrepared(upstream, pool.model_);
}

auto SparePlanner::plan(const FleetState &state, const PoolName &engines,
                        const std::vector<FreeInstance> &spares,
                        const std::function<bool(const FabricDomain &)> &isStable) const
    -> std::vector<SpareStep>
{
    const auto pools = poolsSharing(state, engines);
    auto coverage = SpareCoverage(state);
    for (const auto &spare : spares) {
        for (const auto *pool : pools) {
            if (canJoinWithoutLoad(state.upstreams_.at(spare.upstream_), *pool))
                coverage.addSpare(spare.domain_, *pool);
        }
    }
    auto sparesWithoutWeights = std::map<FabricDomain, std::size_t>{};
    for (const auto &spare : spares) {
        const auto &upstream = state.upstreams_.at(spare.upstream_);
        sparesWithoutWeights[spare.domain_]
            += loadedPool(pools, upstream.announced_) == nullptr ? 1 : 0;
    }
    // A load that lets the spares of a domain form a group has priority over one that only adds a
    // spare.
    const auto priority = [&](const FreeInstance &spare, const Pool &pool) {
        const auto missing = coverage.missingSpares(spare.domain_, pool);
        const auto mayForm = state.hasTraffic_ && pool.groups_ == 0;
        const auto completesGroup
            = mayForm && missing != 0 && missing <= sparesWithoutWeights[spare.domain_];
        return std::tuple(completesGroup, coverage.marginalBenefit(spare.domain_, pool));
    };
    auto steps = std::vector<SpareStep>{};
    for (const auto &spare : spares) {
        const auto &upstream = state.upstreams_.at(spare.upstream_);
        const auto *firstPool = loadedPool(pools, upstream.announced_);
        if (firstPool != nullptr && lastModel(upstream).empty()) {
            steps.push_back({spare.upstream_, SpareStep::Kind::Prepare, firstPool->model_});
            continue;
        }
        const auto isSecondModel = firstPool != nullptr;
        const auto coversTwoModels = isSecondModel && !isPrepared(upstream, firstPool->model_);
        if (coversTwoModels || (isSecondModel && !isStable(spare.domain_)))
            continue;
        const Pool *best = nullptr;
        for (const auto *pool : pools) {
            const auto isNeeded = !isSecondModel || coverage.hasMembers(spare.domain_, *pool);
            if (!isNeeded || canJoinWithoutLoad(upstream, *pool))
                continue;
            if (best == nullptr || priority(spare, *best) < priority(spare, *pool))
                best = pool;
        }
        if (best == nullptr)
            continue;
        coverage.addSpare(spare.domain_, *best);
        steps.push_back({spare.upstream_, SpareStep::Kind::Load, best->model_});
    }
    return steps;
}

auto SparePlanner::planMemberLoads(const FleetState &state, const PoolName &engines) const
    -> std::vector<SpareStep>
{
    const auto pools = poolsSharing(state, engines);
    auto coverage = SpareCoverage(state);
    auto steps = std::vector<SpareStep>{};
    for (const auto &[id, group] : state.groups_) {
        const auto *ownPool = findPool(state.declaration_, group.pool_);
        if (group.phase_ == GroupPhase::Serving && ownPool != nullptr
            && enginesOf(*ownPool) == engines)
            planGroupMemberLoads(state, group, *ownPool, pools, coverage, steps);
    }
    return steps;
}

} // namespace lycheereach
