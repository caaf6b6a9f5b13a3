#include "serving/GroupPlannerHooks.h"

#include "groups/EngineGatedPlanner.h"
#include "groups/EngineGatedPlannerInputs.h"
#include "groups/GroupPlanner.h"
#include "groups/GroupPlannerInputs.h"

#include <memory>
#include <utility>

namespace lycheereach {

namespace {

template <typename Planner>
auto commonHooks(const std::shared_ptr<Planner> &planner) -> GroupPlannerHooks
{
    auto plannerHooks = GroupPlannerHooks{};
    plannerHooks.orderEnded_
        = [planner](const UpstreamId &upstream, bool accepted, MonotonicTime now) {
              planner->orderEnded(upstream, accepted, now);
          };
    plannerHooks.reset_ = [planner] { planner->reset(); };
    return plannerHooks;
}

} // namespace

auto leaseholderGroupPlanner(const EventSink &sink) -> GroupPlannerHooks
{
    const auto planner = std::make_shared<GroupPlanner>(sink);
    auto plannerHooks = commonHooks(planner);
    plannerHooks.plan_ = [planner](const FleetState &state, const GroupPlannerInputs &inputs) {
        return planner->plan(state, inputs);
    };
    return plannerHooks;
}

auto engineGatedPlanner(std::function<bool(const Upstream &)> hasEnded) -> GroupPlannerHooks
{
    const auto planner = std::make_shared<EngineGatedPlanner>();
    auto plannerHooks = commonHooks(planner);
    plannerHooks.observe_
        = [planner](const FleetState &state, MonotonicTime now) { planner->observe(state, now); };
    plannerHooks.plan_ = [planner, hasEnded = std::move(hasEnded)](
                             const FleetState &state, const GroupPlannerInputs &inputs) {
        return planner->plan(
            state, EngineGatedPlannerInputs{inputs.now_, inputs.busyGroupsByPool_, hasEnded});
    };
    return plannerHooks;
}

} // namespace lycheereach
