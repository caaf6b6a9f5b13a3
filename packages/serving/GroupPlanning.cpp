#include "serving/GroupPlanning.h"

#include "groups/GatePlanner.h"
#include "groups/GatePlannerInputs.h"
#include "groups/GroupPlanner.h"
#include "groups/PlannerInputs.h"

#include <memory>
#include <utility>

namespace lycheereach {

namespace {

template <typename Planner>
auto commonHooks(const std::shared_ptr<Planner> &planner) -> GroupPlanning
{
    auto planning = GroupPlanning{};
    planning.orderEnded_ = [planner](const UpstreamId &upstream, bool accepted, MonotonicTime now) {
        planner->orderEnded(upstream, accepted, now);
    };
    planning.reset_ = [planner] { planner->reset(); };
    return planning;
}

} // namespace

auto leasedGroupPlanning(const EventSink &sink) -> GroupPlanning
{
    const auto planner = std::make_shared<GroupPlanner>(sink);
    auto planning = commonHooks(planner);
    planning.plan_ = [planner](const FleetState &state, const PlannerInputs &inputs) {
        return planner->plan(state, inputs);
    };
    return planning;
}

auto gatedGroupPlanning(std::function<bool(const Upstream &)> hasEnded) -> GroupPlanning
{
    const auto planner = std::make_shared<GatePlanner>();
    auto planning = commonHooks(planner);
    planning.observe_
        = [planner](const FleetState &state, MonotonicTime now) { planner->observe(state, now); };
    planning.plan_ = [planner, hasEnded = std::move(hasEnded)](const FleetState &state,
                                                               const PlannerInputs &inputs) {
        return planner->plan(state, GatePlannerInputs{inputs.now_, inputs.demand_, hasEnded});
    };
    return planning;
}

} // namespace lycheereach
