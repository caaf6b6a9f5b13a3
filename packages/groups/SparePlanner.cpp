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
            if (best == nullptr
                || coverage.worth(spare.domain_, *best) < coverage.worth(spare.domain_, *pool))
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
        if (group.phase_ != GroupPhase::Serving)
            continue;
        for (const auto &member : group.members_) {
            const auto upstream = state.upstreams_.find(member);
            if (upstream == state.upstreams_.end() || !mayTakeWork(upstream->second))
                continue;
            const auto &announced = upstream->second.announced_;
            const auto isOther = [&](const Pool *pool) {
                return pool->name_ != group.pool_ && mayBeIn(*pool, group.zone_);
            };
            const auto holdsOther = [&](const Pool *pool) {
                return isOther(pool) && hasWeights(announced, pool->model_);
            };
            if (enginesOf(*findPool(state.declaration_, group.pool_)) != engines
                || std::any_of(pools.begin(), pools.end(), holdsOther))
                continue;
            const auto &domain = announced.fabricDomain_;
            const Pool *best = nullptr;
            for (const auto *pool : pools) {
                const auto isBetter = best == nullptr
                    || coverage.worth(domain, *best) < coverage.worth(domain, *pool);
                if (isOther(pool) && isBetter)
                    best = pool;
            }
            if (best == nullptr)
                continue;
            coverage.add(domain, *best);
            steps.push_back({member, SpareStep::Kind::Load, best->model_});
        }
    }
    return steps;
}

} // namespace lycheereach
