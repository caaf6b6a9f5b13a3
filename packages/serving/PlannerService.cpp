#include "serving/PlannerService.h"

#include "control/ControlService.h"
#include "groups/GroupPlannerInputs.h"

#include <utility>

namespace lycheereach {

namespace {

/// Time between plans while nothing changes, for steps that are due by time alone.
constexpr auto idlePlanInterval = std::chrono::milliseconds(250);

} // namespace

PlannerService::PlannerService(ControlService &control, GroupPlannerHooks plannerHooks,
                               PlannerServiceHooks hooks)
    : control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Planner)
    , plannerHooks_(std::move(plannerHooks))
{ }

auto PlannerService::tick() -> void
{
    const auto term = control_.status().term_;
    const auto actions = plan(term);
    for (const auto &action : actions)
        std::visit([&](const auto &body) { perform(term, body); }, action);
}

/// Forgets commands and orders of an earlier term; late answers to them do not reach the planner.
auto PlannerService::beginTerm(Term term) -> void
{
    if (term == term_)
        return;
    term_ = term;
    pendingCommands_ = 0;
    plannerHooks_.reset_();
}

auto PlannerService::isDue() -> bool
{
    const auto now = hooks_.now_();
    const auto applied = control_.readState([](const FleetState &state) { return state.applied_; });
    const auto hasChanged = applied != plannedIndex_ || orderHasEnded_;
    if (!hasChanged && now - plannedAt_ < idlePlanInterval)
        return false;
    plannedIndex_ = applied;
    plannedAt_ = now;
    orderHasEnded_ = false;
    return true;
}

auto PlannerService::plan(Term term) -> std::vector<PlannerAction>
{
    const auto lock = std::scoped_lock(mutex_);
    beginTerm(term);
    if (!control_.isLeader()) {
        observe();
        return {};
    }
    if (pendingCommands_ > 0)
        return {};
    if (!isDue())
        return {};
    const auto inForce = control_.inForceIndex();
    auto inputs = GroupPlannerInputs{.now_ = hooks_.now_(),
                                     .liveEntries_ = control_.liveEntries(),
                                     .busyGroupsByPool_ = control_.demand()};
    auto actions = control_.readState([&](const FleetState &state) {
        inputs.isRevocationInForce_ = [&](const GroupId &group) {
            return state.groups_.at(group).leaseChangedAt_ <= inForce;
        };
        return plannerHooks_.plan_(state, inputs);
    });
    for (const auto &action : actions)
        pendingCommands_ += std::holds_alternative<Command>(action) ? 1 : 0;
    return actions;
}

auto PlannerService::observe() -> void
{
    if (!plannerHooks_.observe_)
        return;
    control_.readState([&](const FleetState &state) {
        if (state.applied_ == observedIndex_)
            return;
        observedIndex_ = state.applied_;
        plannerHooks_.observe_(state, hooks_.now_());
    });
}

auto PlannerService::perform(Term term, const Command &command) -> void
{
    const auto done = [self = weak_from_this(), term](const Result<CommandOutcome> &) {
        if (const auto service = self.lock())
            service->commandEnded(term);
    };
    control_.propose(command, done);
}

auto PlannerService::perform(Term term, const EngineOrder &order) -> void
{
    hooks_.event_(Event{EventNumber::OrderSent,
                        {{"upstream", order.upstream_.text()},
                         {"group", order.group_.text()},
                         {"epoch", std::to_string(order.epoch_)},
                         {"fencing", std::to_string(order.fencing_)}}});
    const auto ended = [self = weak_from_this(), term, order](bool accepted) {
        if (const auto service = self.lock())
            service->orderEnded(term, order, accepted);
    };
    hooks_.sendOrder_(order, ended);
}

auto PlannerService::commandEnded(Term term) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (term == term_)
        --pendingCommands_;
}

auto PlannerService::orderEnded(Term term, const EngineOrder &order, bool accepted) -> void
{
    if (!accepted)
        hooks_.event_(
            Event{EventNumber::OrderRefused,
                  {{"upstream", order.upstream_.text()}, {"group", order.group_.text()}}});
    const auto lock = std::scoped_lock(mutex_);
    orderHasEnded_ = true;
    if (term == term_)
        plannerHooks_.orderEnded_(order.upstream_, accepted, hooks_.now_());
}

} // namespace lycheereach
