/// \file
/// \brief Decides which instances form which group, and who holds the lease on each.
#pragma once

#include "groups/PlannerAction.h"
#include "groups/PlannerInputs.h"
#include "state/FleetState.h"

#include <map>
#include <vector>

namespace lycheereach {

/// Drives the fleet towards what the declaration asks for. Runs on the control leader.
///
/// plan() compares the replicated state with what it should be and returns the next steps. It is
/// called periodically and after changes, each time after the commands of the last call were
/// applied or refused. Everything kept between calls may be lost: a new leader only waits or
/// repeats an order.
///
/// A plain service is a group of its own with one member; it gets no orders.
/// Not thread-safe.
class GroupPlanner
{
public:
    /// The next steps for \a state. Every order in the result is in flight until orderEnded().
    auto plan(const FleetState &state, const PlannerInputs &inputs) -> std::vector<PlannerAction>;

    /// The order in flight to \a upstream was answered, or its connection is closed for good.
    auto orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;

    /// Forgets all that is in flight; for a new term of leadership.
    auto reset() -> void;

private:
    struct SentOrder
    {
        MemberOrder order_;
        Incarnation incarnation_ = 0;
        bool inFlight_ = true;
        bool accepted_ = false;
        MonotonicTime endedAt_;
    };
    struct Pass;

    auto planLosses(Pass &pass) -> void;
    auto planGroups(Pass &pass) -> void;
    auto planNewGroups(Pass &pass) -> void;
    auto planLeases(Pass &pass) -> void;
    auto planOrders(Pass &pass) -> void;
    auto planJoins(Pass &pass, std::uint32_t &loadsLeft) -> void;
    auto planLeaves(Pass &pass) -> void;
    auto planSpares(Pass &pass, std::uint32_t &loadsLeft) -> void;
    auto loadsLeft(const Pass &pass) const -> std::uint32_t;
    auto send(Pass &pass, MemberOrder order) -> bool;
    auto maySend(const Pass &pass, const MemberOrder &order) const -> bool;

    std::map<UpstreamId, SentOrder> sent_;
    /// Upstreams whose watcher is not live, and since when.
    std::map<UpstreamId, MonotonicTime> unwatchedSince_;
};

} // namespace lycheereach
