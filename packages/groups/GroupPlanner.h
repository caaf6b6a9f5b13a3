/// \file
/// \brief Decides which instances form which group, and who holds the lease on each.
#pragma once

#include "base/Event.h"
#include "groups/FreeInstance.h"
#include "groups/OrderPlanner.h"
#include "groups/PlannerAction.h"
#include "groups/PlannerInputs.h"
#include "state/FleetState.h"

#include <map>
#include <vector>

namespace lycheereach {

struct PlannerPass;

/// Drives the fleet towards what the declaration asks for. Runs on the control leader.
///
/// plan() compares the replicated state with what it should be and returns the next steps. It is
/// called periodically and after changes, each time after the commands of the last call were
/// applied or refused. Everything kept between calls may be lost: a new leader only waits or
/// repeats an order.
///
/// A group with a lost member gets spares of its fabric domain in a new epoch, or is dissolved. A
/// group with a member that leaves is drained; GroupWatch dissolves it when nothing runs. A group
/// of a zone taken out keeps its members and weights, so that it comes back warm.
/// A plain service is a group of its own with one member; it gets no orders.
/// Not thread-safe.
class GroupPlanner
{
public:
    /// \a sink gets an event for every group that spans fabric domains.
    explicit GroupPlanner(EventSink sink);

    /// The next steps for \a state. Every order in the result is in flight until orderEnded().
    auto plan(const FleetState &state, const PlannerInputs &inputs) -> std::vector<PlannerAction>;

    /// The order in flight to \a upstream was answered, or its connection is closed for good.
    auto orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;

    /// Forgets all that is in flight; for a new term of leadership.
    auto reset() -> void;

private:
    auto planLosses(PlannerPass &pass) -> void;
    auto planNewGroups(PlannerPass &pass, const Pool &pool) const -> void;

    EventSink sink_;
    OrderPlanner orders_;
    /// Upstreams whose watcher is not live, and since when.
    std::map<UpstreamId, MonotonicTime> unwatchedSince_;
};

} // namespace lycheereach
