/// \file
/// \brief Decides which instances form groups, and which entry holds the lease on each group.
#pragma once

#include "base/Event.h"
#include "groups/FreeInstance.h"
#include "groups/GroupPlannerInputs.h"
#include "groups/OrderPlanner.h"
#include "groups/PlannerAction.h"
#include "state/FleetState.h"

#include <map>
#include <vector>

namespace lycheereach {

struct PlannerPass;

/// Plans the steps that bring the fleet to what the declaration asks for. Runs on the control
/// leader.
///
/// plan() compares the replicated state with the declaration and returns the next steps. It is
/// called periodically and after changes, each time after the commands of the last call were
/// applied or refused. What it keeps between calls may be lost: a new leader then only waits
/// longer or repeats an order.
///
/// Lost members of a group are replaced by spares of its fabric domain in a new epoch; without
/// enough spares the group is dissolved. A group with a member that leaves is drained;
/// GroupHealthMonitor dissolves it when no requests run in it. A group in a zone taken out keeps
/// its members and weights, so that it can serve as soon as the zone is brought in. An upstream of
/// a plain service forms a group of one member and gets no orders. Not thread-safe.
class GroupPlanner
{
public:
    /// \a sink gets an event for every group that spans fabric domains.
    explicit GroupPlanner(EventSink sink);

    /// The next steps for \a state. Every order in the result is in flight until orderEnded().
    auto plan(const FleetState &state, const GroupPlannerInputs &inputs)
        -> std::vector<PlannerAction>;

    /// Records that the order in flight to \a upstream was answered, or that its connection is
    /// closed for good.
    auto orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;

    /// Discards everything kept between calls at the start of a term of leadership.
    auto reset() -> void;

private:
    auto planLostUpstreams(PlannerPass &pass) -> void;
    auto planNewGroups(PlannerPass &pass, const Pool &pool) const -> void;

    EventSink sink_;
    OrderPlanner orders_;
    /// Upstreams whose watching entry is not live, and since when.
    std::map<UpstreamId, MonotonicTime> unwatchedSince_;
};

} // namespace lycheereach
