#include "groups/GroupPlanner.h"

#include "groups/FreeInstances.h"
#include "groups/LeaseholderChoice.h"
#include "groups/Placement.h"

#include <algorithm>

namespace lycheereach {

/// The inputs and results of one call of plan().
struct PlannerPass
{
    const FleetState &state_;
    const GroupPlannerInputs &inputs_;
    std::vector<PlannerAction> actions_;
    /// The free instances of each pool that this call has not yet put into a group.
    std::map<PoolName, std::vector<FreeInstance>> free_;
    std::size_t formedGroups_ = 0;

    auto propose(Command command) -> void { actions_.emplace_back(std::move(command)); }
    auto proposePhase(const Group &group, GroupPhase phase) -> void
    {
        if (group.phase_ != phase)
            propose(SetGroupPhase{group.id_, group.epoch_, phase});
    }
};

namespace {

auto removeInstance(std::vector<FreeInstance> &free, const UpstreamId &member) -> void
{
    std::erase_if(free, [&](const FreeInstance &instance) { return instance.upstream_ == member; });
}

auto lostMemberCount(const FleetState &state, const Group &group) -> std::size_t
{
    const auto lost = std::count_if(group.members_.begin(), group.members_.end(),
                                    [&](const UpstreamId &id) { return isMemberLost(state, id); });
    return static_cast<std::size_t>(lost);
}

/// Whether the declaration still has the group's pool, with this number of instances per group and
/// allowing its zone, or the group's plain service, whose instances each serve alone.
auto isWanted(const FleetState &state, const Group &group) -> bool
{
    if (const auto *pool = findPool(state.declaration_, group.pool_))
        return pool->instancesPerGroup_ == group.members_.size() && allowsZone(*pool, group.zone_);
    return findService(state.declaration_, group.pool_) != nullptr;
}

/// Whether a member that is not lost is to get no new work.
auto hasLeavingMember(const FleetState &state, const Group &group) -> bool
{
    const auto leaves = [&](const UpstreamId &member) {
        const auto found = state.upstreams_.find(member);
        return found != state.upstreams_.end() && !found->second.lost_
            && !mayTakeWork(found->second);
    };
    return std::any_of(group.members_.begin(), group.members_.end(), leaves);
}

/// The fabric domain from which to replace the member at \a rank: that of the remaining members, or
/// its own when all are lost.
auto replacementDomain(const FleetState &state, const Group &group, std::size_t rank)
    -> FabricDomain
{
    for (const auto &member : group.members_) {
        if (!isMemberLost(state, member))
            return state.upstreams_.at(member).announced_.fabricDomain_;
    }
    const auto found = state.upstreams_.find(group.members_[rank]);
    return found == state.upstreams_.end() ? FabricDomain{}
                                           : found->second.announced_.fabricDomain_;
}

/// The members of \a group with each lost one replaced by a spare; nothing when there are too few.
auto replaceLost(const FleetState &state, const Group &group, std::vector<FreeInstance> free)
    -> std::optional<std::vector<UpstreamId>>
{
    auto members = group.members_;
    for (auto rank = std::size_t{0}; rank < members.size(); ++rank) {
        const auto found = state.upstreams_.find(members[rank]);
        if (!isMemberLost(state, members[rank]))
            continue;
        const auto accelerators
            = found == state.upstreams_.end() ? 0 : found->second.announced_.accelerators_;
        const auto spare = placeSpare(free, replacementDomain(state, group, rank), accelerators);
        if (!spare)
            return std::nullopt;
        members[rank] = *spare;
        removeInstance(free, *spare);
    }
    return members;
}

auto planRepair(PlannerPass &pass, const Group &group) -> void
{
    const auto &state = pass.state_;
    const auto isEnding = group.phase_ == GroupPhase::Draining || !isWanted(state, group)
        || isZoneOut(state, group.zone_) || hasLeavingMember(state, group);
    auto &free = pass.free_[group.pool_];
    const auto members = isEnding ? std::nullopt : replaceLost(state, group, free);
    if (!members) {
        pass.proposePhase(group, GroupPhase::Dissolved);
        return;
    }
    for (const auto &member : *members)
        removeInstance(free, member);
    pass.propose(FormGroup{group.id_, group.pool_, group.zone_, group.epoch_, *members});
}

/// Drains groups that are to end, and repairs groups with lost members, those with the fewest
/// first.
auto planGroups(PlannerPass &pass) -> void
{
    auto broken = std::vector<std::pair<std::size_t, const Group *>>{};
    for (const auto &[id, group] : pass.state_.groups_) {
        const auto lost = lostMemberCount(pass.state_, group);
        if (lost > 0)
            broken.emplace_back(lost, &group);
        else if (!isWanted(pass.state_, group) || hasLeavingMember(pass.state_, group))
            pass.proposePhase(group, GroupPhase::Draining);
    }
    std::stable_sort(broken.begin(), broken.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[lost, group] : broken)
        planRepair(pass, *group);
}

/// The groups that count against the limit of \a pool; those to drain first come last.
auto groupsUnderLimit(const FleetState &state, const Pool &pool) -> std::vector<const Group *>
{
    auto groups = std::vector<const Group *>{};
    for (const auto &[id, group] : state.groups_) {
        if (group.pool_ == pool.name_ && group.phase_ != GroupPhase::Draining
            && !isZoneOut(state, group.zone_))
            groups.push_back(&group);
    }
    std::stable_sort(groups.begin(), groups.end(), [](const Group *left, const Group *right) {
        return left->phase_ == GroupPhase::Serving && right->phase_ != GroupPhase::Serving;
    });
    return groups;
}

auto newGroupId(PlannerPass &pass, const PoolName &pool) -> GroupId
{
    return GroupId(pool.text() + "-" + std::to_string(pass.state_.applied_) + "-"
                   + std::to_string(++pass.formedGroups_));
}

auto planServices(PlannerPass &pass) -> void
{
    const auto &state = pass.state_;
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto &announced = upstream.announced_;
        if (announced.kind_ != UpstreamKind::Service || state.groupOf_.contains(id))
            continue;
        if (!mayTakeWork(upstream) || isZoneOut(state, announced.zone_)
            || findService(state.declaration_, announced.pool_) == nullptr)
            continue;
        pass.propose(FormGroup{
            newGroupId(pass, announced.pool_), announced.pool_, announced.zone_, 0, {id}});
    }
}

/// Revokes the leases of entries that are not live, and grants a group's lease again once its
/// revocation is in force.
auto planLeases(PlannerPass &pass) -> void
{
    const auto &state = pass.state_;
    const auto &live = pass.inputs_.liveEntries_;
    for (const auto &[id, group] : state.groups_) {
        if (!group.leaseholder_.empty()) {
            const auto holder = state.entries_.find(group.leaseholder_);
            const auto isLive = holder != state.entries_.end() && live.contains(group.leaseholder_)
                && holder->second.phase_ == EntryPhase::Live;
            if (!isLive)
                pass.propose(SetLeaseholder{id, group.leaseNumber_, EntryId{}});
            continue;
        }
        if (group.leaseNumber_ != 0 && !pass.inputs_.isRevocationInForce_(id))
            continue;
        const auto ranked = rankEntries(state, live, id.text(), group.zone_);
        if (!ranked.empty())
            pass.propose(SetLeaseholder{id, group.leaseNumber_, ranked.front()});
    }
}

} // namespace

GroupPlanner::GroupPlanner(EventSink sink)
    : sink_(std::move(sink))
{ }

auto GroupPlanner::plan(const FleetState &state, const GroupPlannerInputs &inputs)
    -> std::vector<PlannerAction>
{
    auto pass = PlannerPass{state, inputs, {}, {}, 0};
    for (const auto &pool : state.declaration_.pools_)
        pass.free_[pool.name_] = freeInstances(state, pool);
    planLostUpstreams(pass);
    planGroups(pass);
    for (const auto &pool : state.declaration_.pools_)
        planNewGroups(pass, pool);
    planServices(pass);
    planLeases(pass);
    for (auto &order : orders_.plan(state, inputs.now_))
        pass.actions_.emplace_back(std::move(order));
    return std::move(pass.actions_);
}

auto GroupPlanner::planLostUpstreams(PlannerPass &pass) -> void
{
    auto unwatched = std::map<UpstreamId, MonotonicTime>{};
    for (const auto &[id, upstream] : pass.state_.upstreams_) {
        if (upstream.lost_ || pass.inputs_.liveEntries_.contains(upstream.watcher_))
            continue;
        const auto known = unwatchedSince_.find(id);
        const auto since = known == unwatchedSince_.end() ? pass.inputs_.now_ : known->second;
        unwatched.emplace(id, since);
        const auto &announced = upstream.announced_;
        const auto policy
            = policyFor(pass.state_.declaration_, announced.zone_, announced.pool_, id);
        if (pass.inputs_.now_ - since >= std::chrono::milliseconds(policy.silenceTimeoutMs_))
            pass.propose(LoseUpstream{id, announced.incarnation_, EntryId{}});
    }
    unwatchedSince_ = std::move(unwatched);
}

auto GroupPlanner::planNewGroups(PlannerPass &pass, const Pool &pool) const -> void
{
    const auto groups = groupsUnderLimit(pass.state_, pool);
    const auto size = std::size_t{pool.instancesPerGroup_};
    const auto limit = pool.groups_ == 0 ? pass.state_.upstreams_.size() : pool.groups_;
    for (auto index = std::size_t{limit}; index < groups.size(); ++index)
        pass.proposePhase(*groups[index], GroupPhase::Draining);
    auto &free = pass.free_[pool.name_];
    for (auto count = groups.size(); count < limit; ++count) {
        const auto placed = placeGroup(free, size);
        if (!placed)
            return;
        for (const auto &member : placed->members_)
            removeInstance(free, member);
        const auto id = newGroupId(pass, pool.name_);
        if (placed->acrossDomains_) {
            sink_(Event{
                EventNumber::GroupAcrossDomains,
                {{"group", id.text()},
                 {"zone", placed->zone_.text()},
                 {"reason", "no fabric domain has " + std::to_string(size) + " free instances"}}});
        }
        pass.propose(FormGroup{id, pool.name_, placed->zone_, 0, placed->members_});
    }
}

auto GroupPlanner::orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void
{
    orders_.orderEnded(upstream, accepted, now);
}

auto GroupPlanner::reset() -> void
{
    orders_.reset();
    unwatchedSince_.clear();
}

} // namespace lycheereach
