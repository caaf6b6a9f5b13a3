#include "groups/SparePlanner.h"

#include "groups/FreeInstances.h"
#include "state/FleetState.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheereach {

namespace {

/// An engine that takes longer to get ready in its standby group is told to leave it; engines get
/// ready from the weights on their host in less than two seconds.
constexpr auto preparationLimit = std::chrono::seconds(5);

using DomainPool = std::pair<FabricDomain, PoolName>;

/// Which members the spares of each fabric domain stand for.
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

    /// One more spare of \a domain may join groups of \a pool.
    auto add(const FabricDomain &domain, const Pool &pool) -> void
    {
        ++spares_[{domain, pool.name_}];
    }

    /// How many more spares of \a domain a group of \a pool takes; 0 when there are enough.
    [[nodiscard]] auto missing(const FabricDomain &domain, const Pool &pool) const -> std::size_t
    {
        const auto found = spares_.find({domain, pool.name_});
        const auto held = found == spares_.end() ? 0 : found->second;
        return std::max<std::size_t>(held, pool.instancesPerGroup_) - held;
    }

    [[nodiscard]] auto hasMembers(const FabricDomain &domain, const Pool &pool) const -> bool
    {
        return members_.contains({domain, pool.name_});
    }

    /// The members that one more spare stands for, less for each spare that stands for them
    /// already: the loss of one member is far more likely than that of several before the next
    /// spare is ready.
    [[nodiscard]] auto worth(const FabricDomain &domain, const Pool &pool) const -> double
    {
        const auto count = [&](const std::map<DomainPool, std::size_t> &counts) {
            const auto found = counts.find({domain, pool.name_});
            return found == counts.end() ? 0.0 : static_cast<double>(found->second);
        };
        const auto others = count(spares_) + 1;
        return count(members_) / (others * others);
    }

private:
    std::map<DomainPool, std::size_t> members_;
    std::map<DomainPool, std::size_t> spares_;
};

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

/// How many members of a group of \a own are to hold the weights of \a other: what its groups can
/// take of the members that the loss of one leaves. The rest keep the weights of their own model,
/// with which they join again after a restart.
auto secondHolders(const Pool &own, const Pool &other) -> std::size_t
{
    const auto size = std::size_t{own.instancesPerGroup_};
    const auto otherSize = std::max<std::size_t>(other.instancesPerGroup_, 1);
    return size <= otherSize ? size : (size - 1) / otherSize * otherSize;
}

/// Adds the loads onto the members of \a group, which is of \a own, to \a steps.
auto planMembersOf(const FleetState &state, const Group &group, const Pool &own,
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
            return pool != &own && hasWeights(announced, pool->model_);
        });
        const auto &domain = announced.fabricDomain_;
        const Pool *best = nullptr;
        for (const auto *pool : pools) {
            const auto isWanted = pool != &own && mayBeIn(*pool, group.zone_)
                && holders[pool->name_] < secondHolders(own, *pool);
            const auto isBetter
                = best == nullptr || coverage.worth(domain, *best) < coverage.worth(domain, *pool);
            if (isWanted && isBetter)
                best = pool;
        }
        if (holdsOther || best == nullptr)
            continue;
        ++holders[best->name_];
        coverage.add(domain, *best);
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

auto SparePlanner::lastModel(const Upstream &upstream) const -> std::string
{
    const auto &announced = upstream.announced_;
    const auto found = known_.find(announced.upstream_);
    const auto isKnown
        = found != known_.end() && found->second.incarnation_ == announced.incarnation_;
    return isKnown ? found->second.model_ : std::string();
}

auto SparePlanner::isPrepared(const Upstream &upstream, const std::string &model) const -> bool
{
    return !model.empty() && lastModel(upstream) == model;
}

auto SparePlanner::mayJoin(const Upstream &upstream, const Pool &pool) const -> bool
{
    return hasWeights(upstream.announced_, pool.model_) || isPrepared(upstream, pool.model_);
}

auto SparePlanner::plan(const FleetState &state, const PoolName &engines,
                        const std::vector<FreeInstance> &spares,
                        const std::function<bool(const FabricDomain &)> &isAtRest) const
    -> std::vector<SpareStep>
{
    const auto pools = poolsOf(state, engines);
    auto coverage = SpareCoverage(state);
    for (const auto &spare : spares) {
        for (const auto *pool : pools) {
            if (mayJoin(state.upstreams_.at(spare.upstream_), *pool))
                coverage.add(spare.domain_, *pool);
        }
    }
    auto empty = std::map<FabricDomain, std::size_t>{};
    for (const auto &spare : spares) {
        const auto &upstream = state.upstreams_.at(spare.upstream_);
        empty[spare.domain_] += heldPool(pools, upstream.announced_) == nullptr ? 1 : 0;
    }
    // A load that lets the spares of a domain form a group goes before one that only stands by.
    const auto rank = [&](const FreeInstance &spare, const Pool &pool) {
        const auto missing = coverage.missing(spare.domain_, pool);
        const auto mayForm = state.hasTraffic_ && pool.groups_ == 0;
        const auto completes = mayForm && missing != 0 && missing <= empty[spare.domain_];
        return std::tuple(completes, coverage.worth(spare.domain_, pool));
    };
    auto steps = std::vector<SpareStep>{};
    for (const auto &spare : spares) {
        const auto &upstream = state.upstreams_.at(spare.upstream_);
        const auto *held = heldPool(pools, upstream.announced_);
        if (held != nullptr && lastModel(upstream).empty()) {
            steps.push_back({spare.upstream_, SpareStep::Kind::Prepare, held->model_});
            continue;
        }
        const auto isSecond = held != nullptr;
        const auto hasBoth = isSecond && !isPrepared(upstream, held->model_);
        if (hasBoth || (isSecond && !isAtRest(spare.domain_)))
            continue;
        const Pool *best = nullptr;
        for (const auto *pool : pools) {
            const auto isNeeded = !isSecond || coverage.hasMembers(spare.domain_, *pool);
            if (!isNeeded || mayJoin(upstream, *pool))
                continue;
            if (best == nullptr || rank(spare, *best) < rank(spare, *pool))
                best = pool;
        }
        if (best == nullptr)
            continue;
        coverage.add(spare.domain_, *best);
        steps.push_back({spare.upstream_, SpareStep::Kind::Load, best->model_});
    }
    return steps;
}

auto SparePlanner::planMembers(const FleetState &state, const PoolName &engines) const
    -> std::vector<SpareStep>
{
    const auto pools = poolsOf(state, engines);
    auto coverage = SpareCoverage(state);
    auto steps = std::vector<SpareStep>{};
    for (const auto &[id, group] : state.groups_) {
        const auto *own = findPool(state.declaration_, group.pool_);
        if (group.phase_ == GroupPhase::Serving && own != nullptr && enginesOf(*own) == engines)
            planMembersOf(state, group, *own, pools, coverage, steps);
    }
    return steps;
}

} // namespace lycheereach
