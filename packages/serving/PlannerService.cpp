#include "serving/PlannerService.h"

#include "control/ControlService.h"
#include "groups/PlannerInputs.h"

#include <utility>

namespace lycheereach {

PlannerService::PlannerService(ControlService &control, PlannerServiceHooks hooks)
    : control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Planner)
    , planner_(hooks_.event_)
{ }

auto PlannerService::tick() -> void
{
    const auto actions = plan();
    for (const auto &action : actions)
        std::visit([this](const auto &body) { perform(body); }, action);
}

auto PlannerService::plan() -> std::vector<PlannerAction>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto leads = control_.leads();
    if (leads != leading_)
        planner_.reset();
    leading_ = leads;
    if (!leads || commandsUnderWay_ > 0)
        return {};
    const auto inForce = control_.inForceIndex();
    auto inputs = PlannerInputs{.now_ = hooks_.now_(), .liveEntries_ = control_.liveEntries()};
    auto actions = control_.read([&](const FleetState &state) {
        inputs.revokedInForce_ = [&](const GroupId &group) {
            return state.groups_.at(group).leaseChangedAt_ <= inForce;
        };
        return planner_.plan(state, inputs);
    });
    for (const auto &action : actions)
        commandsUnderWay_ += std::holds_alternative<Command>(action) ? 1 : 0;
    return actions;
}

auto PlannerService::perform(const Command &command) -> void
{
    const auto done = [self = weak_from_this()](const Result<CommandOutcome> &) {
        if (const auto service = self.lock())
            service->commandEnded();
    };
    control_.propose(command, done);
}

auto PlannerService::perform(const MemberOrder &order) -> void
{
    hooks_.event_(Event{EventNumber::OrderSent,
                        {{"upstream", order.upstream_.text()},
                         {"group", order.group_.text()},
                         {"epoch", std::to_string(order.epoch_)},
                         {"fencing", std::to_string(order.fencing_)}}});
    const auto ended = [self = weak_from_this(), order](bool accepted) {
        if (const auto service = self.lock())
            service->orderEnded(order, accepted);
    };
    hooks_.sendOrder_(order, ended);
}

auto PlannerService::commandEnded() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    --commandsUnderWay_;
}

auto PlannerService::orderEnded(const MemberOrder &order, bool accepted) -> void
{
    if (!accepted)
        hooks_.event_(
            Event{EventNumber::OrderRefused,
                  {{"upstream", order.upstream_.text()}, {"group", order.group_.text()}}});
    const auto lock = std::scoped_lock(mutex_);
    planner_.orderEnded(order.upstream_, accepted, hooks_.now_());
}

} // namespace lycheereach
