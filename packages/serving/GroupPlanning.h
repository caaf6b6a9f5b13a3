/// \file
/// \brief The planner that a PlannerService runs.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "groups/PlannerAction.h"

#include <functional>
#include <vector>

namespace lycheereach {

struct FleetState;
struct PlannerInputs;
struct Upstream;

/// The planner that a PlannerService runs, as hooks; called under its lock.
struct GroupPlanning
{
    std::function<std::vector<PlannerAction>(const FleetState &, const PlannerInputs &)> plan_;
    std::function<void(const UpstreamId &, bool accepted, MonotonicTime)> orderEnded_;
    /// Takes in the state while another process leads; may be empty.
    std::function<void(const FleetState &, MonotonicTime)> observe_;
    /// Forgets all that is in flight.
    std::function<void()> reset_;
};

/// The planner of engines whose members follow leaseholders.
auto leasedGroupPlanning(const EventSink &sink) -> GroupPlanning;
/// The planner of engines that keep the gate of their group. \a hasEnded says whether the process
/// of an upstream is known to have ended.
auto gatedGroupPlanning(std::function<bool(const Upstream &)> hasEnded) -> GroupPlanning;

} // namespace lycheereach
