/// \file
/// \brief The group planner that a PlannerService runs.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "groups/PlannerAction.h"

#include <functional>
#include <vector>

namespace lycheereach {

struct FleetState;
struct GroupPlannerInputs;
struct Upstream;

/// The group planner that a PlannerService runs, as hooks that are called under its lock.
struct GroupPlannerHooks
{
    /// The next steps for the replicated state.
    std::function<std::vector<PlannerAction>(const FleetState &, const GroupPlannerInputs &)> plan_;
    /// The order in flight to an upstream was answered, or its connection is closed for good.
    std::function<void(const UpstreamId &, bool accepted, MonotonicTime)> orderEnded_;
    /// Follows the replicated state while another process leads; may be empty.
    std::function<void(const FleetState &, MonotonicTime)> observe_;
    /// Forgets the orders in flight, at the start of a term.
    std::function<void()> reset_;
};

/// Runs a GroupPlanner, for engines whose requests need permits of a leaseholder.
auto leaseholderGroupPlanner(const EventSink &sink) -> GroupPlannerHooks;
/// Runs a EngineGatedPlanner, for engines that are ordered when to accept requests. \a hasEnded
/// tells whether the process of an upstream is known to have ended.
auto engineGatedPlanner(std::function<bool(const Upstream &)> hasEnded) -> GroupPlannerHooks;

} // namespace lycheereach
