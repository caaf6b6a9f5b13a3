#include "groups/EngineGatedPlanner.h"

#include "groups/EngineGatedPlannerInputs.h"
#include "groups/FreeInstances.h"
#include "groups/MemberAddress.h"
#include "groups/Placement.h"
#include "groups/Regrouping.h"
#include "state/FleetState.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace lycheereach {

namespace {

/// Added to the stall time after which a broken group's members are used again, for clocks that run
/// at different rates. The wait begins when the member's exit is observed, which is never too
/// early.
constexpr auto stallMargin = std::chrono::milliseconds(300);

/// A sound engine may be silent for a second or so, also towards probes. For this long after it was
/// declared lost the others of its group are not ordered to leave, which would cut their streams.
constexpr auto momentarySilence = std::chrono::seconds(1);

/// A domain is stable when none of its groups has formed or ended for this time. Work that can wait
/// is planned only in stable domains: the members of a group that ended are soon free again, with
/// their weights.
constexpr auto domainStablePeriod = std::chrono::seconds(2);

/// A load whose weights have not been announced after this time counts as failed. The slowest loads
/// take 16 s when the weight store is idle.
constexpr auto loadTimeout = std::chrono::seconds(30);

/// Instances that stay free in a fabric domain when a pool gets more groups than it had before.
constexpr auto minSparesPerDomain = std::size_t{2};

/// Time between reviews of the spares and of the distribution of engines over pools, under traffic.
constexpr auto reviewInterval = std::chrono::milliseconds(400);

/// After groups were ended for another pool, no others are ended for this time, so that the members
/// form the new group first.
constexpr auto regroupCooldown = std::chrono::seconds(1);

/// A pool may form a group that it had before from any instance that needs no load of weights,
/// unless another pool has more work per instance than this pool would have with that group, by
/// more than this factor.
constexpr auto maxWorkRatioOnRestore = 1.3;

/// The least expected work of a pool, as a fraction of the demand for all pools of its engines, so
/// that a pool without callers keeps capacity for the next one.
constexpr auto minWorkFraction = 0.05;

/// The engines of a fleet that has just started count as all discovered when their number has not
/// changed for this fraction of the announcement interval.
constexpr auto discoveryQuietFraction = 0.6;

auto findUpstream(const FleetState &state, const UpstreamId &id) -> const Upstream *
{
    const auto found = state.upstreams_.find(id);
    return found == state.upstreams_.end() ? nullptr : &found->second;
}

auto isMemberOf(const Announcement &announced, const Group &group) -> bool
{
    return announced.group_ == group.id_ && announced.epoch_ == group.epoch_;
}

auto orderFor(const Upstream &upstream, OrderKind kind, const GroupId &group, Epoch epoch)
    -> EngineOrder
{
    auto order = EngineOrder{};
    order.upstream_ = upstream.announced_.upstream_;
    order.address_ = upstream.announced_.address_;
    order.kind_ = kind;
    order.group_ = group;
    order.epoch_ = epoch;
    return order;
}

auto memberAddresses(const FleetState &state, const Group &group) -> std::vector<MemberAddress>
{
    auto members = std::vector<MemberAddress>{};
    for (const auto &id : group.members_) {
        const auto *upstream = findUpstream(state, id);
        members.push_back({id, upstream == nullptr ? "" : upstream->announced_.address_});
    }
    return members;
}

/// Whether \a upstream is a live member of \a group, also while its gate closes.
auto isLiveMember(const Group &group, const Upstream &upstream) -> bool
{
    const auto &announced = upstream.announced_;
    const auto isClosing = announced.phase_ == MemberPhase::Closing && isMemberOf(announced, group);
    return memberAgrees(group, upstream) || (isClosing && !upstream.lost_);
}

/// Whether a member is unknown or lost, or has left a group whose gate may be open.
auto isIncomplete(const FleetState &state, const Group &group) -> bool
{
    const auto isMissing = [&](const UpstreamId &id) {
        const auto *upstream = findUpstream(state, id);
        return upstream == nullptr || upstream->lost_
            || (group.mayBeOpen_ && !isLiveMember(group, *upstream));
    };
    return std::any_of(group.members_.begin(), group.members_.end(), isMissing);
}

auto hasLeavingMember(const FleetState &state, const Group &group) -> bool
{
    const auto leaves = [&](const UpstreamId &id) {
        const auto *upstream = findUpstream(state, id);
        return upstream != nullptr && !mayTakeWork(*upstream);
    };
    return std::any_of(group.members_.begin(), group.members_.end(), leaves);
}

auto isWanted(const FleetState &state, const Group &group) -> bool
{
    const auto *pool = findPool(state.declaration_, group.pool_);
    return pool != nullptr && pool->instancesPerGroup_ == group.members_.size()
        && allowsZone(*pool, group.zone_);
}

auto activeGroupCount(const FleetState &state, const PoolName &pool) -> std::size_t
{
    const auto isActive = [&](const auto &item) {
        return item.second.pool_ == pool && item.second.phase_ != GroupPhase::Draining
            && !isZoneOut(state, item.second.zone_);
    };
    return static_cast<std::size_t>(
        std::count_if(state.groups_.begin(), state.groups_.end(), isActive));
}

/// The work expected of \a pool in instances, relative to other pools of its engines: the demand of
/// callers, or the declared share while no demand is known.
auto expectedWork(const FleetState &state, const EngineGatedPlannerInputs &inputs, const Pool &pool)
    -> double
{
    auto totalDemand = 0.0;
    for (const auto &other : state.declaration_.pools_) {
        const auto found = inputs.busyGroupsByPool_.find(other.name_);
        if (enginesOf(other) == enginesOf(pool) && found != inputs.busyGroupsByPool_.end())
            totalDemand += found->second * other.instancesPerGroup_;
    }
    if (totalDemand <= 0)
        return pool.share_ > 0 ? pool.share_ : 1.0;
    const auto found = inputs.busyGroupsByPool_.find(pool.name_);
    const auto ownDemand
        = found == inputs.busyGroupsByPool_.end() ? 0 : found->second * pool.instancesPerGroup_;
    return std::max(ownDemand, minWorkFraction * totalDemand);
}

/// A pool that may get one more group, with the work expected of it.
struct PoolNeed
{
    const Pool *pool_ = nullptr;
    std::size_t groups_ = 0;
    double work_ = 1;

    /// For comparison, greatest first: whether the pool has no group, then the expected work per
    /// instance after one more group was formed.
    [[nodiscard]] auto priority() const -> std::pair<bool, double>
    {
        return {groups_ == 0, workPerInstance(groups_ + 1)};
    }
    /// The expected work per instance of the groups that the pool has.
    [[nodiscard]] auto currentWorkPerInstance() const -> double { return workPerInstance(groups_); }

private:
    [[nodiscard]] auto workPerInstance(std::size_t groups) const -> double
    {
        const auto instances = static_cast<double>(pool_->instancesPerGroup_ * groups);
        return groups == 0 ? std::numeric_limits<double>::max() : work_ / instances;
    }
};

auto poolNeeds(const FleetState &state, const EngineGatedPlannerInputs &inputs)
    -> std::vector<PoolNeed>
{
    auto pools = std::vector<PoolNeed>{};
    for (const auto &pool : state.declaration_.pools_)
        pools.push_back(PoolNeed{&pool, activeGroupCount(state, pool.name_),
                                 expectedWork(state, inputs, pool)});
    return pools;
}

auto neediestPool(std::vector<PoolNeed> &pools) -> PoolNeed *
{
    const auto less = [](const PoolNeed &left, const PoolNeed &right) {
        return left.priority() < right.priority();
    };
    const auto found = std::max_element(pools.begin(), pools.end(), less);
    return found == pools.end() ? nullptr : &*found;
}

/// Whether another pool of the same engines has more work per instance now than \a pool would have
/// after one more group. When that group \a isRestored, one that the pool had before, the other
/// pool must have more by maxWorkRatioOnRestore.
auto hasNeedierPool(const std::vector<PoolNeed> &pools, const PoolNeed &pool, bool isRestored)
    -> bool
{
    const auto limit
        = isRestored ? maxWorkRatioOnRestore * pool.priority().second : pool.priority().second;
    return std::any_of(pools.begin(), pools.end(), [&](const PoolNeed &other) {
        return other.pool_ != pool.pool_ && enginesOf(*other.pool_) == enginesOf(*pool.pool_)
            && other.currentWorkPerInstance() > limit;
    });
}

} // namespace

auto EngineGatedPlanner::plan(const FleetState &state, const EngineGatedPlannerInputs &inputs)
    -> std::vector<PlannerAction>
{
    auto pass = Pass{.state_ = state, .inputs_ = inputs};
    observe(state, inputs.now_);
    removeEndedLoads(pass);
    for (const auto &[id, group] : state.groups_)
        planGroup(pass, group);
    planOrphans(pass);
    if (isDiscoveryComplete(pass))
        planNewGroups(pass);
    for (auto &order : orders_.takeQueued())
        pass.actions_.emplace_back(std::move(order));
    return std::move(pass.actions_);
}

auto EngineGatedPlanner::planGroup(Pass &pass, const Group &group) -> void
{
    const auto &state = pass.state_;
    if (group.phase_ == GroupPhase::Draining) {
        planGroupEnd(pass, group);
        return;
    }
    if (isIncomplete(state, group) || hasLeavingMember(state, group) || !isWanted(state, group)) {
        pass.actions_.emplace_back(
            Command(SetGroupPhase{group.id_, group.epoch_, GroupPhase::Draining}));
        return;
    }
    if (group.phase_ == GroupPhase::Serving) {
        planGateOpening(pass, group);
        return;
    }
    if (allMembersAgree(state, group))
        pass.actions_.emplace_back(
            Command(SetGroupPhase{group.id_, group.epoch_, GroupPhase::Serving}));
    else
        planJoins(pass, group, *findPool(state.declaration_, group.pool_));
}

auto EngineGatedPlanner::planJoins(Pass &pass, const Group &group, const Pool &pool) -> void
{
    const auto members = memberAddresses(pass.state_, group);
    for (auto rank = std::uint32_t{0}; rank < group.members_.size(); ++rank) {
        const auto &upstream = *findUpstream(pass.state_, group.members_[rank]);
        if (isMemberOf(upstream.announced_, group))
            continue;
        auto order = orderFor(upstream, OrderKind::Join, group.id_, group.epoch_);
        order.rank_ = rank;
        order.members_ = members;
        order.model_ = pool.model_;
        order.fencing_ = group.fencing_;
        if (!orders_.maySend(upstream, order, pass.inputs_.now_))
            continue;
        const auto isLoad = !hasWeights(upstream.announced_, pool.model_)
            && !spares_.isPrepared(upstream, pool.model_);
        if (isLoad && !tryAcquireLoad(pass, enginesOf(pool)))
            continue;
        orders_.send(upstream, order, pass.inputs_.now_);
        if (isLoad)
            pendingLoads_[order.upstream_] = PendingLoad{pool.model_, pass.inputs_.now_};
    }
}

auto EngineGatedPlanner::planGateOpening(Pass &pass, const Group &group) -> void
{
    const auto &head = *findUpstream(pass.state_, group.members_.front());
    if (head.announced_.phase_ != MemberPhase::Ready)
        return;
    orders_.send(head, orderFor(head, OrderKind::Open, group.id_, group.epoch_), pass.inputs_.now_);
}

auto EngineGatedPlanner::planGroupEnd(Pass &pass, const Group &group) -> void
{
    if (isGateClosed(pass, group)) {
        pass.actions_.emplace_back(
            Command(SetGroupPhase{group.id_, group.epoch_, GroupPhase::Dissolved}));
        return;
    }
    if (mayResume(pass, group))
        return;
    const auto now = pass.inputs_.now_;
    const auto &head = *findUpstream(pass.state_, group.members_.front());
    if (!head.lost_) {
        const auto phase = head.announced_.phase_;
        const auto mayHaveRequests = phase == MemberPhase::Open || phase == MemberPhase::Closing;
        const auto leaves = isIncomplete(pass.state_, group) || !mayHaveRequests;
        if (leaves)
            orders_.send(head, orderFor(head, OrderKind::Leave, group.id_, group.epoch_), now);
        else if (phase == MemberPhase::Open)
            orders_.send(head, orderFor(head, OrderKind::Close, group.id_, group.epoch_), now);
        return;
    }
    for (const auto &id : group.members_) {
        const auto *member = findUpstream(pass.state_, id);
        if (member != nullptr && !member->lost_ && isMemberOf(member->announced_, group))
            orders_.send(*member, orderFor(*member, OrderKind::Leave, group.id_, group.epoch_),
                         now);
    }
}

auto EngineGatedPlanner::mayResume(const Pass &pass, const Group &group) const -> bool
{
    if (!group.mayBeOpen_)
        return false;
    auto hasSilentMember = false;
    for (const auto &id : group.members_) {
        const auto *upstream = findUpstream(pass.state_, id);
        if (upstream == nullptr)
            return false;
        if (!upstream->lost_) {
            if (!isLiveMember(group, *upstream))
                return false;
            continue;
        }
        const auto hasEnded
            = pass.inputs_.hasProcessEnded_ && pass.inputs_.hasProcessEnded_(*upstream);
        const auto since = lostSince_.find(id);
        if (hasEnded || since == lostSince_.end()
            || pass.inputs_.now_ - since->second >= momentarySilence)
            return false;
        hasSilentMember = true;
    }
    return hasSilentMember;
}

auto EngineGatedPlanner::isGateClosed(const Pass &pass, const Group &group) const -> bool
{
    const auto &state = pass.state_;
    const auto *head = findUpstream(state, group.members_.front());
    if (head == nullptr)
        return true;
    const auto &announced = head->announced_;
    if (!head->lost_)
        return !isMemberOf(announced, group);
    if (!group.mayBeOpen_)
        return true;
    if (pass.inputs_.hasProcessEnded_ && pass.inputs_.hasProcessEnded_(*head))
        return true;
    // A lost head may still accept requests until the engines have broken the group.
    const auto broken = brokenSince_.find(group.id_);
    if (broken == brokenSince_.end())
        return false;
    const auto *pool = findPool(state.declaration_, group.pool_);
    const auto *profile
        = pool == nullptr ? nullptr : findProfile(state.declaration_, enginesOf(*pool));
    const auto stallTime = std::chrono::milliseconds(profile == nullptr ? UpstreamProfile{}.stallMs_
                                                                        : profile->stallMs_);
    return pass.inputs_.now_ - broken->second >= stallTime + stallMargin;
}

auto EngineGatedPlanner::planOrphans(Pass &pass) -> void
{
    for (const auto &[id, upstream] : pass.state_.upstreams_) {
        const auto &announced = upstream.announced_;
        if (announced.group_.empty() || upstream.lost_ || announced.kind_ != UpstreamKind::Engine)
            continue;
        const auto membership = pass.state_.groupOf_.find(id);
        const auto belongs = membership != pass.state_.groupOf_.end()
            && isMemberOf(announced, pass.state_.groups_.at(membership->second));
        if (belongs || spares_.isPreparing(upstream, pass.inputs_.now_))
            continue;
        orders_.send(upstream,
                     orderFor(upstream, OrderKind::Leave, announced.group_, announced.epoch_),
                     pass.inputs_.now_);
        if (!isDomainStable(pass, announced.fabricDomain_))
            pass.releasingDomains_.insert(announced.fabricDomain_);
    }
}

auto EngineGatedPlanner::isDiscoveryComplete(const Pass &pass) -> bool
{
    const auto now = pass.inputs_.now_;
    const auto &state = pass.state_;
    if (upstreamCount_ != state.upstreams_.size()) {
        upstreamCount_ = state.upstreams_.size();
        upstreamCountSince_ = now;
    }
    const auto period = std::chrono::milliseconds(state.declaration_.defaults_.announceEveryMs_);
    return state.hasTraffic_ || now - upstreamCountSince_ >= discoveryQuietFraction * period;
}

auto EngineGatedPlanner::observe(const FleetState &state, MonotonicTime now) -> void
{
    spares_.observe(state, now);
    trackLostUpstreams(state, now);
    trackBrokenGroups(state, now);
    for (const auto &[id, group] : state.groups_) {
        if (group.phase_ == GroupPhase::Serving)
            continue;
        for (const auto &member : group.members_) {
            if (const auto *upstream = findUpstream(state, member))
                lastTransitionAt_[upstream->announced_.fabricDomain_] = now;
        }
    }
}

auto EngineGatedPlanner::trackLostUpstreams(const FleetState &state, MonotonicTime now) -> void
{
    std::erase_if(lostSince_, [&](const auto &item) {
        const auto *upstream = findUpstream(state, item.first);
        return upstream == nullptr || !upstream->lost_;
    });
    for (const auto &[id, upstream] : state.upstreams_) {
        if (upstream.lost_)
            lostSince_.try_emplace(id, now);
    }
}

auto EngineGatedPlanner::trackBrokenGroups(const FleetState &state, MonotonicTime now) -> void
{
    std::erase_if(brokenSince_,
                  [&](const auto &item) { return !state.groups_.contains(item.first); });
    for (const auto &item : state.groups_) {
        const auto &group = item.second;
        const auto *head = findUpstream(state, group.members_.front());
        const auto hasLeft = [&](const UpstreamId &member) {
            const auto *upstream = findUpstream(state, member);
            return upstream != nullptr && !upstream->lost_
                && !isMemberOf(upstream->announced_, group);
        };
        const auto isBroken = head != nullptr && head->lost_
            && std::any_of(group.members_.begin(), group.members_.end(), hasLeft);
        if (isBroken)
            brokenSince_.try_emplace(group.id_, now);
        else
            brokenSince_.erase(group.id_);
    }
}

auto EngineGatedPlanner::isDomainStable(const Pass &pass, const FabricDomain &domain) const -> bool
{
    const auto changed = lastTransitionAt_.find(domain);
    return changed == lastTransitionAt_.end()
        || pass.inputs_.now_ - changed->second >= domainStablePeriod;
}

auto EngineGatedPlanner::unusedInstances(const Pass &pass, const Pool &pool,
                                         const std::set<UpstreamId> &used) const
    -> std::vector<FreeInstance>
{
    auto free = freeInstances(pass.state_, pool);
    std::erase_if(free, [&](const FreeInstance &item) {
        return used.contains(item.upstream_) || pass.releasingDomains_.contains(item.domain_);
    });
    for (auto &item : free) {
        const auto &upstream = *findUpstream(pass.state_, item.upstream_);
        item.isPrepared_ = spares_.isPrepared(upstream, pool.model_);
        item.hasWeights_ = item.hasWeights_ || item.isPrepared_;
    }
    return free;
}

auto EngineGatedPlanner::replacementInstances(const Pass &pass, const Pool &pool,
                                              const std::set<UpstreamId> &used) const
    -> std::vector<FreeInstance>
{
    auto free = unusedInstances(pass, pool, used);
    // Under traffic the other members would wait for a member that loads. As a spare it can load
    // while they serve in another group.
    std::erase_if(free, [&](const FreeInstance &item) {
        return !item.hasWeights_ && pass.state_.hasTraffic_;
    });
    return free;
}

auto EngineGatedPlanner::surplusInstances(const Pass &pass, const Pool &pool,
                                          const std::set<UpstreamId> &used) const
    -> std::vector<FreeInstance>
{
    auto free = unusedInstances(pass, pool, used);
    auto inDomain = std::map<FabricDomain, std::size_t>{};
    for (const auto &item : free)
        ++inDomain[item.domain_];
    std::erase_if(free, [&](const FreeInstance &item) {
        const auto leavesSpares
            = inDomain.at(item.domain_) >= pool.instancesPerGroup_ + minSparesPerDomain;
        return !item.hasWeights_ || !leavesSpares || !isDomainStable(pass, item.domain_);
    });
    return free;
}

auto EngineGatedPlanner::planNewGroups(Pass &pass) -> void
{
    const auto &state = pass.state_;
    const auto allPools = poolNeeds(state, pass.inputs_);
    auto pools = allPools;
    auto used = std::set<UpstreamId>{};
    while (auto *next = neediestPool(pools)) {
        const auto &pool = *next->pool_;
        const auto isFull = pool.groups_ != 0 && next->groups_ >= pool.groups_;
        auto &peak = peakGroupCount_[pool.name_];
        peak = std::max(peak, next->groups_);
        const auto anotherPoolIsNeedier = state.hasTraffic_ && next->groups_ != 0
            && hasNeedierPool(allPools, *next, next->groups_ < peak);
        const auto free = anotherPoolIsNeedier ? surplusInstances(pass, pool, used)
                                               : replacementInstances(pass, pool, used);
        const auto choice
            = state.hasTraffic_ ? DomainChoice::MostSpares : DomainChoice::FewestSpares;
        const auto placed
            = isFull ? std::nullopt : placeGroup(free, pool.instancesPerGroup_, choice);
        if (!placed) {
            pools.erase(pools.begin() + (next - pools.data()));
            continue;
        }
        used.insert(placed->members_.begin(), placed->members_.end());
        ++next->groups_;
        const auto id = GroupId("g" + std::to_string(state.applied_) + "-"
                                + std::to_string(++pass.formedGroups_));
        pass.actions_.emplace_back(
            Command(FormGroup{id, pool.name_, placed->zone_, 0, placed->members_, true}));
    }
    // The groups of a domain decide which model its spares load, so groups are formed first.
    if (pass.formedGroups_ != 0)
        return;
    auto plannedEngines = std::set<PoolName>{};
    // Regrouping scans all instances and is never urgent, while changes come in quick succession:
    // under traffic it runs only once per reviewInterval.
    const auto now = pass.inputs_.now_;
    const auto isReviewDue = !state.hasTraffic_ || now - lastReviewAt_ >= reviewInterval;
    if (!isReviewDue)
        return;
    lastReviewAt_ = now;
    for (const auto &pool : state.declaration_.pools_) {
        if (!plannedEngines.insert(enginesOf(pool)).second)
            continue;
        planRegrouping(pass, enginesOf(pool));
        planSpares(pass, enginesOf(pool), unusedInstances(pass, pool, used));
    }
}

auto EngineGatedPlanner::regroupCandidates(const Pass &pass,
                                           const std::vector<const Pool *> &pools) const
    -> std::vector<RegroupCandidate>
{
    const auto &state = pass.state_;
    auto candidates = std::vector<RegroupCandidate>{};
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto &announced = upstream.announced_;
        const auto isEngine = announced.kind_ == UpstreamKind::Engine
            && announced.pool_ == enginesOf(*pools.front());
        if (!isEngine || !mayTakeWork(upstream) || isZoneOut(state, announced.zone_)
            || !isDomainStable(pass, announced.fabricDomain_))
            continue;
        auto candidate = RegroupCandidate{.domain_ = announced.fabricDomain_};
        const auto membership = state.groupOf_.find(id);
        if (membership != state.groupOf_.end()) {
            candidate.group_ = membership->second;
            candidate.pool_ = state.groups_.at(membership->second).pool_;
        } else if (!announced.group_.empty()) {
            continue;
        }
        for (const auto *pool : pools) {
            const auto isEligible
                = hasWeights(announced, pool->model_) || spares_.isPrepared(upstream, pool->model_);
            if (isEligible && allowsZone(*pool, announced.zone_))
                candidate.eligiblePools_.insert(pool->name_);
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

auto EngineGatedPlanner::planRegrouping(Pass &pass, const PoolName &engines) -> void
{
    const auto &state = pass.state_;
    const auto now = pass.inputs_.now_;
    const auto isStillPresent = [&](const GroupId &id) { return state.groups_.contains(id); };
    if (std::any_of(donorGroups_.begin(), donorGroups_.end(), isStillPresent))
        nextRegroupAt_ = now + regroupCooldown;
    if (!state.hasTraffic_ || now < nextRegroupAt_)
        return;
    donorGroups_.clear();
    auto pools = std::vector<const Pool *>{};
    auto supplies = std::vector<PoolSupply>{};
    for (const auto &pool : state.declaration_.pools_) {
        if (enginesOf(pool) != engines)
            continue;
        pools.push_back(&pool);
        const auto groups = activeGroupCount(state, pool.name_);
        const auto isFull = pool.groups_ != 0 && groups >= pool.groups_;
        supplies.push_back({pool.name_, pool.instancesPerGroup_, groups,
                            isFull ? 0 : expectedWork(state, pass.inputs_, pool)});
    }
    for (const auto &id : groupsToDissolve(supplies, regroupCandidates(pass, pools))) {
        donorGroups_.insert(id);
        pass.actions_.emplace_back(
            Command(SetGroupPhase{id, state.groups_.at(id).epoch_, GroupPhase::Draining}));
    }
}

auto EngineGatedPlanner::planSpares(Pass &pass, const PoolName &engines,
                                    const std::vector<FreeInstance> &spares) -> void
{
    const auto mayLoadSecondModel = [&](const FabricDomain &domain) {
        return !pass.state_.hasTraffic_ || isDomainStable(pass, domain);
    };
    auto steps = spares_.plan(pass.state_, engines, spares, mayLoadSecondModel);
    const auto memberSteps = spares_.planMemberLoads(pass.state_, engines);
    steps.insert(steps.end(), memberSteps.begin(), memberSteps.end());
    for (const auto &step : steps) {
        const auto &upstream = *findUpstream(pass.state_, step.upstream_);
        const auto isLoad = step.kind_ == SpareStep::Kind::Load;
        auto order = isLoad
            ? orderFor(upstream, OrderKind::Load, {}, 0)
            : orderFor(upstream, OrderKind::Join, SparePlanner::standbyGroup(step.upstream_),
                       pass.state_.lastFencing_);
        order.model_ = step.model_;
        if (!isLoad)
            order.members_ = {{step.upstream_, upstream.announced_.address_}};
        if (!orders_.maySend(upstream, order, pass.inputs_.now_))
            continue;
        const auto isMember = pass.state_.groupOf_.contains(step.upstream_);
        const auto isSecondModel = isMember || !upstream.announced_.loaded_.empty();
        if (isLoad
            && (!hasLoadCapacityForSpare(pass, isSecondModel) || !tryAcquireLoad(pass, engines)))
            continue;
        orders_.send(upstream, order, pass.inputs_.now_);
        if (isLoad)
            pendingLoads_[step.upstream_] = PendingLoad{step.model_, pass.inputs_.now_};
    }
}

auto EngineGatedPlanner::removeEndedLoads(const Pass &pass) -> void
{
    std::erase_if(pendingLoads_, [&](const auto &item) {
        const auto *upstream = findUpstream(pass.state_, item.first);
        return upstream == nullptr || upstream->lost_
            || hasWeights(upstream->announced_, item.second.model_)
            || pass.inputs_.now_ - item.second.orderedAt_ >= loadTimeout;
    });
}

auto EngineGatedPlanner::hasLoadCapacityForSpare(const Pass &pass, bool isSecondModel) const -> bool
{
    if (!pass.state_.hasTraffic_)
        return true;
    const auto atOnce = std::size_t{pass.state_.declaration_.defaults_.loadsAtOnce_};
    return pendingLoads_.size() < (isSecondModel ? atOnce / 2 : atOnce);
}

auto EngineGatedPlanner::tryAcquireLoad(const Pass &pass, const PoolName &engines) -> bool
{
    if (!pass.state_.hasTraffic_)
        return true;
    const auto *profile = findProfile(pass.state_.declaration_, engines);
    auto &limiter = loadLimiters_[engines];
    limiter.setRate(profile == nullptr ? 0 : profile->loadsPerSecond_);
    return limiter.tryAcquire(pass.inputs_.now_);
}

auto EngineGatedPlanner::orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now)
    -> void
{
    orders_.markEnded(upstream, accepted, now);
}

auto EngineGatedPlanner::reset() -> void
{
    orders_.reset();
    pendingLoads_.clear();
}

} // namespace lycheereach
