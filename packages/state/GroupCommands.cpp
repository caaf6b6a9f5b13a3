#include "state/CommandHandlers.h"

#include <algorithm>
#include <set>

namespace lycheereach {

namespace {

auto emitGroup(const CommandContext &context, EventNumber number, const Group &group) -> void
{
    context.sink_(Event{number,
                        {{"group", group.id_.text()},
                         {"epoch", std::to_string(group.epoch_)},
                         {"pool", group.pool_.text()},
                         {"upstream", group.members_.empty() ? "" : group.members_.front().text()},
                         {"members", std::to_string(group.members_.size())}}});
}

/// Why \a member can't be in the group; empty when it can.
auto memberProblem(const FleetState &state, const FormGroup &command, const UpstreamId &member)
    -> std::string
{
    const auto found = state.upstreams_.find(member);
    if (found == state.upstreams_.end())
        return "is unknown";
    const auto &announced = found->second.announced_;
    if (found->second.lost_)
        return "is lost";
    const auto *pool = findPool(state.declaration_, command.pool_);
    if (announced.pool_ != (pool == nullptr ? command.pool_ : enginesOf(*pool)))
        return "is of pool '" + announced.pool_.text() + "'";
    const auto other = state.groupOf_.find(member);
    if (other != state.groupOf_.end() && other->second != command.id_)
        return "is in group '" + other->second.text() + "'";
    if (!announced.group_.empty() && announced.group_ != command.id_)
        return "still takes itself for a member of '" + announced.group_.text() + "'";
    return {};
}

auto sizeProblem(const FleetState &state, const FormGroup &command) -> std::string
{
    const auto *pool = findPool(state.declaration_, command.pool_);
    const auto isService = findService(state.declaration_, command.pool_) != nullptr;
    if (pool == nullptr && !isService)
        return "unknown pool '" + command.pool_.text() + "'";
    const auto size = pool == nullptr ? std::size_t{1} : pool->instancesPerGroup_;
    const auto distinct = std::set(command.members_.begin(), command.members_.end());
    if (command.members_.size() != size || distinct.size() != size)
        return "needs " + std::to_string(size) + " different members";
    return {};
}

/// Why the members can't be one group for their fabric; empty when they can.
auto fabricProblem(const FleetState &state, const FormGroup &command) -> std::string
{
    const auto &first = state.upstreams_.at(command.members_.front()).announced_;
    for (const auto &member : command.members_) {
        const auto &announced = state.upstreams_.at(member).announced_;
        const auto policy
            = policyFor(state.declaration_, announced.zone_, command.pool_, announced.upstream_);
        if (announced.fabricDomain_ != first.fabricDomain_ && !policy.acrossDomains_)
            return "the members span fabric domains, which the declaration does not allow";
    }
    return {};
}

auto formationProblem(const FleetState &state, const FormGroup &command) -> std::string
{
    const auto found = state.groups_.find(command.id_);
    const auto epoch = found == state.groups_.end() ? Epoch{0} : found->second.epoch_;
    if (epoch != command.previousEpoch_)
        return "the group is at epoch " + std::to_string(epoch);
    if (auto problem = sizeProblem(state, command); !problem.empty())
        return problem;
    for (const auto &member : command.members_) {
        if (auto problem = memberProblem(state, command, member); !problem.empty())
            return "'" + member.text() + "' " + problem;
    }
    return fabricProblem(state, command);
}

auto release(FleetState &state, const Group &group) -> void
{
    for (const auto &member : group.members_)
        state.groupOf_.erase(member);
}

auto mayFollow(GroupPhase from, GroupPhase to) -> bool
{
    if (to == GroupPhase::Forming)
        return false;
    if (from == GroupPhase::Draining && to == GroupPhase::Loading)
        return true;
    return from != GroupPhase::Dissolved;
}

auto eventOf(GroupPhase phase) -> EventNumber
{
    switch (phase) {
    case GroupPhase::Forming:
        return EventNumber::GroupForming;
    case GroupPhase::Loading:
        return EventNumber::GroupLoading;
    case GroupPhase::Serving:
        return EventNumber::GroupServing;
    case GroupPhase::Draining:
        return EventNumber::GroupDraining;
    case GroupPhase::Dissolved:
        return EventNumber::GroupDissolved;
    }
    return EventNumber::GroupForming;
}

} // namespace

auto demoteIfIncomplete(CommandContext &context, const UpstreamId &member) -> void
{
    auto &state = context.state_;
    const auto membership = state.groupOf_.find(member);
    if (membership == state.groupOf_.end())
        return;
    auto &group = state.groups_.at(membership->second);
    if (group.phase_ != GroupPhase::Serving || allMembersAgree(state, group))
        return;
    group.phase_ = GroupPhase::Forming;
    emitGroup(context, EventNumber::GroupForming, group);
}

auto handle(CommandContext &context, const FormGroup &command) -> CommandOutcome
{
    auto &state = context.state_;
    if (auto problem = formationProblem(state, command); !problem.empty())
        return refused("group '" + command.id_.text() + "': " + problem);
    auto &group = state.groups_[command.id_];
    release(state, group);
    const auto isRepair = command.previousEpoch_ != 0;
    group.id_ = command.id_;
    group.pool_ = command.pool_;
    group.zone_ = command.zone_;
    group.fencing_ = ++state.lastFencing_;
    group.epoch_ = command.fleetEpoch_ ? group.fencing_ : command.previousEpoch_ + 1;
    group.mayBeOpen_ = false;
    group.members_ = command.members_;
    group.phase_ = GroupPhase::Forming;
    for (const auto &member : group.members_)
        state.groupOf_[member] = group.id_;
    emitGroup(context, isRepair ? EventNumber::GroupRepaired : EventNumber::GroupForming, group);
    return accepted();
}

auto handle(CommandContext &context, const SetGroupPhase &command) -> CommandOutcome
{
    auto &state = context.state_;
    const auto found = state.groups_.find(command.id_);
    if (found == state.groups_.end() || found->second.epoch_ != command.epoch_)
        return refused("group '" + command.id_.text() + "' is at another epoch");
    auto &group = found->second;
    if (group.phase_ == command.phase_)
        return accepted();
    if (!mayFollow(group.phase_, command.phase_))
        return refused("group '" + command.id_.text() + "' can't move to that phase");
    if (command.phase_ == GroupPhase::Serving && !allMembersAgree(state, group))
        return refused("group '" + command.id_.text() + "' has members that do not agree");
    group.phase_ = command.phase_;
    group.mayBeOpen_ = group.mayBeOpen_ || command.phase_ == GroupPhase::Serving;
    emitGroup(context, eventOf(command.phase_), group);
    if (command.phase_ == GroupPhase::Dissolved) {
        release(state, group);
        state.groups_.erase(found);
    }
    return accepted();
}

auto handle(CommandContext &context, const SetLeaseholder &command) -> CommandOutcome
{
    auto &state = context.state_;
    const auto found = state.groups_.find(command.id_);
    if (found == state.groups_.end() || found->second.leaseNumber_ != command.previousLeaseNumber_)
        return refused("the lease on group '" + command.id_.text() + "' has another number");
    auto &group = found->second;
    if (!command.entry_.empty() && !group.leaseholder_.empty())
        return refused("the lease on group '" + command.id_.text() + "' is held; revoke it first");
    group.leaseholder_ = command.entry_;
    group.leaseChangedAt_ = context.index_;
    state.requiredIndex_ = context.index_;
    if (command.entry_.empty())
        return accepted();
    ++group.leaseNumber_;
    context.sink_(Event{EventNumber::LeaseholderGranted,
                        {{"group", group.id_.text()}, {"entry", command.entry_.text()}}});
    return accepted();
}

} // namespace lycheereach
