#include "groups/GatePlanner.h"

#include "groups/FreeInstances.h"
#include "groups/GatePlannerInputs.h"
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

/// Added to the time that a group stands still before its members are used again, for clocks that
/// run at different rates. That a member left is seen only after it did, which is on the safe side.
constexpr auto stallMargin = std::chrono::milliseconds(300);

/// Groups that need loads are formed only in domains where no group has begun or ended for so long:
/// the members of one that ended are soon free again, with their weights.
constexpr auto domainRest = std::chrono::seconds(2);

/// A load that has shown no effect for so long has failed; the slowest take 16 s at an idle store.
constexpr auto longestLoad = std::chrono::seconds(30);

/// Instances that stay free in a fabric domain when a pool gets more groups than it had.
constexpr auto sparesOfDomain = std::size_t{2};

/// Spares and the balance of the pools are reviewed at this pace.
constexpr auto reviewPause = std::chrono::milliseconds(400);

/// After groups were taken apart for another pool, others stay for so long: their members are to
/// form the new group first.
constexpr auto regroupPause = std::chrono::seconds(1);

/// A pool gets no group back from instances that another one lacks when that has more work for each
/// of its instances by this factor.
constexpr auto considerable = 1.3;

/// A pool that nobody asks keeps this part of the work of all for the next caller.
constexpr auto leastPart = 0.05;

/// A fleet that has just started counts as complete when no engine has come for this part of the
/// time between announcements.
constexpr auto settlePart = 0.6;

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
    -> MemberOrder
{
    auto order = MemberOrder{};
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

/// Whether \a upstream takes part in \a group, also while its gate closes.
auto takesPart(const Group &group, const Upstream &upstream) -> bool
{
    const auto &announced = upstream.announced_;
    const auto isClosing = announced.phase_ == MemberPhase::Closing && isMemberOf(announced, group);
    return memberAgrees(group, upstream) || (isClosing && !upstream.lost_);
}

/// Whether a member is gone, or in a group that was complete no longer takes part.
auto isIncomplete(const FleetState &state, const Group &group) -> bool
{
    const auto isMissing = [&](const UpstreamId &id) {
        const auto *upstream = findUpstream(state, id);
        return upstream == nullptr || upstream->lost_
            || (group.mayBeOpen_ && !takesPart(group, *upstream));
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
        && mayBeIn(*pool, group.zone_);
}

auto groupsOf(const FleetState &state, const PoolName &pool) -> std::size_t
{
    const auto counts = [&](const auto &item) {
        return item.second.pool_ == pool && item.second.phase_ != GroupPhase::Draining
            && !isZoneOut(state, item.second.zone_);
    };
    return static_cast<std::size_t>(
        std::count_if(state.groups_.begin(), state.groups_.end(), counts));
}

/// The work that \a pool is to carry, beside other pools of its engines: what callers ask, or the
/// declared share while that is not known.
auto workOf(const FleetState &state, const GatePlannerInputs &inputs, const Pool &pool) -> double
{
    auto asked = 0.0;
    for (const auto &other : state.declaration_.pools_) {
        const auto found = inputs.demand_.find(other.name_);
        if (enginesOf(other) == enginesOf(pool) && found != inputs.demand_.end())
            asked += found->second * other.instancesPerGroup_;
    }
    if (asked <= 0)
        return pool.share_ > 0 ? pool.share_ : 1.0;
    const auto found = inputs.demand_.find(pool.name_);
    const auto own = found == inputs.demand_.end() ? 0 : found->second * pool.instancesPerGroup_;
    return std::max(own, leastPart * asked);
}

/// A pool that may get one more group.
struct Wanting
{
    const Pool *pool_ = nullptr;
    std::size_t groups_ = 0;
    double work_ = 1;

    /// Whether the pool has no group, and how much of the expected work one instance would have
    /// after one more group was formed.
    [[nodiscard]] auto need() const -> std::pair<bool, double>
    {
        return {groups_ == 0, loadWith(groups_ + 1)};
    }
    /// The expected work of one instance.
    [[nodiscard]] auto load() const -> double { return loadWith(groups_); }

private:
    [[nodiscard]] auto loadWith(std::size_t groups) const -> double
    {
        const auto instances = static_cast<double>(pool_->instancesPerGroup_ * groups);
        return groups == 0 ? std::numeric_limits<double>::max() : work_ / instances;
    }
};

auto wantingPools(const FleetState &state, const GatePlannerInputs &inputs) -> std::vector<Wanting>
{
    auto pools = std::vector<Wanting>{};
    for (const auto &pool : state.declaration_.pools_)
        pools.push_back(Wanting{&pool, groupsOf(state, pool.name_), workOf(state, inputs, pool)});
    return pools;
}

auto neediest(std::vector<Wanting> &pools) -> Wanting *
{
    const auto less
        = [](const Wanting &left, const Wanting &right) { return left.need() < right.need(); };
    const auto found = std::max_element(pools.begin(), pools.end(), less);
    return found == pools.end() ? nullptr : &*found;
}

/// Whether \a pool has more capacity for its work after one more group than another pool of its
/// engines has now; where the pool \a hadAsMany groups before, considerably more.
auto isBetterCovered(const std::vector<Wanting> &pools, const Wanting &pool, bool hadAsMany) -> bool
{
    const auto limit = hadAsMany ? considerable * pool.need().second : pool.need().second;
    return std::any_of(pools.begin(), pools.end(), [&](const Wanting &other) {
        return other.pool_ != pool.pool_ && enginesOf(*other.pool_) == enginesOf(*pool.pool_)
            && other.load() > limit;
    });
}

} // namespace

auto GatePlanner::plan(const FleetState &state, const GatePlannerInputs &inputs)
    -> std::vector<PlannerAction>
{
    auto pass = Pass{.state_ = state, .inputs_ = inputs};
    observe(state, inputs.now_);
    noteLoads(pass);
    for (const auto &[id, group] : state.groups_)
        planGroup(pass, group);
    planStrays(pass);
    if (hasSettled(pass))
        planNewGroups(pass);
    for (auto &order : orders_.take())
        pass.actions_.emplace_back(std::move(order));
    return std::move(pass.actions_);
}

auto GatePlanner::planGroup(Pass &pass, const Group &group) -> void
{
    const auto &state = pass.state_;
    if (group.phase_ == GroupPhase::Draining) {
        planEnd(pass, group);
        return;
    }
    if (isIncomplete(state, group) || hasLeavingMember(state, group) || !isWanted(state, group)) {
        pass.actions_.emplace_back(
            Command(SetGroupPhase{group.id_, group.epoch_, GroupPhase::Draining}));
        return;
    }
    if (group.phase_ == GroupPhase::Serving) {
        planOpening(pass, group);
        return;
    }
    if (allMembersAgree(state, group))
        pass.actions_.emplace_back(
            Command(SetGroupPhase{group.id_, group.epoch_, GroupPhase::Serving}));
    else
        planJoins(pass, group, *findPool(state.declaration_, group.pool_));
}

auto GatePlanner::planJoins(Pass &pass, const Group &group, const Pool &pool) -> void
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
        if (isLoad && !mayLoad(pass, enginesOf(pool)))
            continue;
        orders_.send(upstream, order, pass.inputs_.now_);
        if (isLoad)
            loading_[order.upstream_] = Loading{pool.model_, pass.inputs_.now_};
    }
}

auto GatePlanner::planOpening(Pass &pass, const Group &group) -> void
{
    const auto &head = *findUpstream(pass.state_, group.members_.front());
    if (head.announced_.phase_ != MemberPhase::Ready)
        return;
    orders_.send(head, orderFor(head, OrderKind::Open, group.id_, group.epoch_), pass.inputs_.now_);
}

auto GatePlanner::planEnd(Pass &pass, const Group &group) -> void
{
    if (isGateClosed(pass, group)) {
        pass.actions_.emplace_back(
            Command(SetGroupPhase{group.id_, group.epoch_, GroupPhase::Dissolved}));
        return;
    }
    const auto now = pass.inputs_.now_;
    const auto &head = *findUpstream(pass.state_, group.members_.front());
    if (!head.lost_) {
        const auto phase = head.announced_.phase_;
        const auto finishes = phase == MemberPhase::Open || phase == MemberPhase::Closing;
        const auto leaves = isIncomplete(pass.state_, group) || !finishes;
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

auto GatePlanner::isGateClosed(const Pass &pass, const Group &group) const -> bool
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
    if (pass.inputs_.hasEnded_ && pass.inputs_.hasEnded_(*head))
        return true;
    // A lost first member may still take requests until its group has broken.
    const auto broken = brokenSince_.find(group.id_);
    if (broken == brokenSince_.end())
        return false;
    const auto *pool = findPool(state.declaration_, group.pool_);
    const auto *profile
        = pool == nullptr ? nullptr : findProfile(state.declaration_, enginesOf(*pool));
    const auto stall = std::chrono::milliseconds(profile == nullptr ? UpstreamProfile{}.stallMs_
                                                                    : profile->stallMs_);
    return pass.inputs_.now_ - broken->second >= stall + stallMargin;
}

auto GatePlanner::planStrays(Pass &pass) -> void
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
        if (!isAtRest(pass, announced.fabricDomain_))
            pass.unsettled_.insert(announced.fabricDomain_);
    }
}

auto GatePlanner::hasSettled(const Pass &pass) -> bool
{
    const auto now = pass.inputs_.now_;
    const auto &state = pass.state_;
    if (known_ != state.upstreams_.size()) {
        known_ = state.upstreams_.size();
        knownSince_ = now;
    }
    const auto period = std::chrono::milliseconds(state.declaration_.defaults_.announceEveryMs_);
    return state.hasTraffic_ || now - knownSince_ >= settlePart * period;
}

auto GatePlanner::observe(const FleetState &state, MonotonicTime now) -> void
{
    spares_.observe(state, now);
    noteBroken(state, now);
    for (const auto &[id, group] : state.groups_) {
        if (group.phase_ == GroupPhase::Serving)
            continue;
        for (const auto &member : group.members_) {
            if (const auto *upstream = findUpstream(state, member))
                changedAt_[upstream->announced_.fabricDomain_] = now;
        }
    }
}

auto GatePlanner::noteBroken(const FleetState &state, MonotonicTime now) -> void
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

auto GatePlanner::isAtRest(const Pass &pass, const FabricDomain &domain) const -> bool
{
    const auto changed = changedAt_.find(domain);
    return changed == changedAt_.end() || pass.inputs_.now_ - changed->second >= domainRest;
}

auto GatePlanner::unused(const Pass &pass, const Pool &pool, const std::set<UpstreamId> &used) const
    -> std::vector<FreeInstance>
{
    auto free = freeInstances(pass.state_, pool);
    std::erase_if(free, [&](const FreeInstance &item) {
        return used.contains(item.upstream_) || pass.unsettled_.contains(item.domain_);
    });
    for (auto &item : free) {
        const auto &upstream = *findUpstream(pass.state_, item.upstream_);
        item.isPrepared_ = spares_.isPrepared(upstream, pool.model_);
        item.hasWeights_ = item.hasWeights_ || item.isPrepared_;
    }
    return free;
}

auto GatePlanner::usable(const Pass &pass, const Pool &pool, const std::set<UpstreamId> &used) const
    -> std::vector<FreeInstance>
{
    auto free = unused(pass, pool, used);
    // A member that loads holds the others up; as a spare it loads while they serve elsewhere.
    std::erase_if(free, [&](const FreeInstance &item) {
        return !item.hasWeights_ && pass.state_.hasTraffic_;
    });
    return free;
}

auto GatePlanner::spareInstances(const Pass &pass, const Pool &pool,
                                 const std::set<UpstreamId> &used) const
    -> std::vector<FreeInstance>
{
    auto free = unused(pass, pool, used);
    auto inDomain = std::map<FabricDomain, std::size_t>{};
    for (const auto &item : free)
        ++inDomain[item.domain_];
    std::erase_if(free, [&](const FreeInstance &item) {
        const auto leavesSpares
            = inDomain.at(item.domain_) >= pool.instancesPerGroup_ + sparesOfDomain;
        return !item.hasWeights_ || !leavesSpares || !isAtRest(pass, item.domain_);
    });
    return free;
}

auto GatePlanner::planNewGroups(Pass &pass) -> void
{
    const auto &state = pass.state_;
    const auto allPools = wantingPools(state, pass.inputs_);
    auto pools = allPools;
    auto used = std::set<UpstreamId>{};
    while (auto *next = neediest(pools)) {
        const auto &pool = *next->pool_;
        const auto isFull = pool.groups_ != 0 && next->groups_ >= pool.groups_;
        auto &most = mostGroups_[pool.name_];
        most = std::max(most, next->groups_);
        const auto isExtra = state.hasTraffic_ && next->groups_ != 0
            && isBetterCovered(allPools, *next, next->groups_ < most);
        const auto free = isExtra ? spareInstances(pass, pool, used) : usable(pass, pool, used);
        const auto choice = state.hasTraffic_ ? DomainChoice::Widest : DomainChoice::Tightest;
        const auto placed
            = isFull ? std::nullopt : placeGroup(free, pool.instancesPerGroup_, choice);
        if (!placed) {
            pools.erase(pools.begin() + (next - pools.data()));
            continue;
        }
        used.insert(placed->members_.begin(), placed->members_.end());
        ++next->groups_;
        const auto id
            = GroupId("g" + std::to_string(state.applied_) + "-" + std::to_string(++pass.formed_));
        pass.actions_.emplace_back(
            Command(FormGroup{id, pool.name_, placed->zone_, 0, placed->members_, true}));
    }
    // Which model a spare stands for follows from the groups of its domain, so those come first.
    if (pass.formed_ != 0)
        return;
    auto planned = std::set<PoolName>{};
    // Regrouping looks at all instances and is never urgent: changes come in quick succession.
    const auto now = pass.inputs_.now_;
    const auto isReviewDue = !state.hasTraffic_ || now - reviewedAt_ >= reviewPause;
    if (!isReviewDue)
        return;
    reviewedAt_ = now;
    for (const auto &pool : state.declaration_.pools_) {
        if (!planned.insert(enginesOf(pool)).second)
            continue;
        planRegrouping(pass, enginesOf(pool));
        planSpares(pass, enginesOf(pool), unused(pass, pool, used));
    }
}

auto GatePlanner::regroupCandidates(const Pass &pass, const std::vector<const Pool *> &pools) const
    -> std::vector<RegroupCandidate>
{
    const auto &state = pass.state_;
    auto candidates = std::vector<RegroupCandidate>{};
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto &announced = upstream.announced_;
        const auto isEngine = announced.kind_ == UpstreamKind::Engine
            && announced.pool_ == enginesOf(*pools.front());
        if (!isEngine || !mayTakeWork(upstream) || isZoneOut(state, announced.zone_)
            || !isAtRest(pass, announced.fabricDomain_))
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
            const auto fits
                = hasWeights(announced, pool->model_) || spares_.isPrepared(upstream, pool->model_);
            if (fits && mayBeIn(*pool, announced.zone_))
                candidate.fits_.insert(pool->name_);
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

auto GatePlanner::planRegrouping(Pass &pass, const PoolName &engines) -> void
{
    const auto &state = pass.state_;
    const auto now = pass.inputs_.now_;
    const auto isUnderWay = [&](const GroupId &id) { return state.groups_.contains(id); };
    if (std::any_of(takenApart_.begin(), takenApart_.end(), isUnderWay))
        regroupAfter_ = now + regroupPause;
    if (!state.hasTraffic_ || now < regroupAfter_)
        return;
    takenApart_.clear();
    auto pools = std::vector<const Pool *>{};
    auto supplies = std::vector<PoolSupply>{};
    for (const auto &pool : state.declaration_.pools_) {
        if (enginesOf(pool) != engines)
            continue;
        pools.push_back(&pool);
        const auto groups = groupsOf(state, pool.name_);
        const auto isFull = pool.groups_ != 0 && groups >= pool.groups_;
        supplies.push_back({pool.name_, pool.instancesPerGroup_, groups,
                            isFull ? 0 : workOf(state, pass.inputs_, pool)});
    }
    for (const auto &id : groupsToTakeApart(supplies, regroupCandidates(pass, pools))) {
        takenApart_.insert(id);
        pass.actions_.emplace_back(
            Command(SetGroupPhase{id, state.groups_.at(id).epoch_, GroupPhase::Draining}));
    }
}

auto GatePlanner::planSpares(Pass &pass, const PoolName &engines,
                             const std::vector<FreeInstance> &spares) -> void
{
    const auto mayRestage = [&](const FabricDomain &domain) {
        return !pass.state_.hasTraffic_ || isAtRest(pass, domain);
    };
    auto steps = spares_.plan(pass.state_, engines, spares, mayRestage);
    const auto ofMembers = spares_.planMembers(pass.state_, engines);
    steps.insert(steps.end(), ofMembers.begin(), ofMembers.end());
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
        const auto isSecond = isMember || !upstream.announced_.loaded_.empty();
        if (isLoad && (!hasRoomForSpare(pass, isSecond) || !mayLoad(pass, engines)))
            continue;
        orders_.send(upstream, order, pass.inputs_.now_);
        if (isLoad)
            loading_[step.upstream_] = Loading{step.model_, pass.inputs_.now_};
    }
}

auto GatePlanner::noteLoads(const Pass &pass) -> void
{
    std::erase_if(loading_, [&](const auto &item) {
        const auto *upstream = findUpstream(pass.state_, item.first);
        return upstream == nullptr || upstream->lost_
            || hasWeights(upstream->announced_, item.second.model_)
            || pass.inputs_.now_ - item.second.since_ >= longestLoad;
    });
}

auto GatePlanner::hasRoomForSpare(const Pass &pass, bool isSecond) const -> bool
{
    if (!pass.state_.hasTraffic_)
        return true;
    const auto atOnce = std::size_t{pass.state_.declaration_.defaults_.loadsAtOnce_};
    return loading_.size() < (isSecond ? atOnce / 2 : atOnce);
}

auto GatePlanner::mayLoad(const Pass &pass, const PoolName &engines) -> bool
{
    if (!pass.state_.hasTraffic_)
        return true;
    const auto *profile = findProfile(pass.state_.declaration_, engines);
    auto &rate = loads_[engines];
    rate.setRate(profile == nullptr ? 0 : profile->loadsPerSecond_);
    return rate.take(pass.inputs_.now_);
}

auto GatePlanner::orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void
{
    orders_.ended(upstream, accepted, now);
}

auto GatePlanner::reset() -> void
{
    orders_.reset();
    loading_.clear();
}

} // namespace lycheereach
