/// \file
/// \brief Decides which orders to send to engines.
#pragma once

#include "base/Time.h"
#include "groups/EngineOrder.h"
#include "state/FleetState.h"

#include <map>
#include <set>
#include <vector>

namespace lycheereach {

/// Sends orders until the announcement of every engine agrees with the replicated state.
///
/// An engine has one order in flight. The next one waits until the first was answered or its
/// connection is closed, and a repetition also until the engine had time to announce the effect.
/// The number of engines that load weights at the same time is limited over the whole fleet by the
/// policy's loadsAtOnce_.
/// Not thread-safe.
class OrderPlanner
{
public:
    /// The orders to send now; each is in flight until orderEnded().
    auto plan(const FleetState &state, MonotonicTime now) -> std::vector<EngineOrder>;

    /// Records that the order in flight to \a upstream was answered, or that its connection is
    /// closed for good.
    auto orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;

    /// Forgets all sent orders, answered or not, without cancelling them. Called at the start of a
    /// term of leadership.
    auto reset() -> void;

private:
    struct SentOrder
    {
        EngineOrder order_;
        Incarnation incarnation_ = 0;
        bool inFlight_ = true;
        bool accepted_ = false;
        MonotonicTime endedAt_;
    };
    /// The inputs and results of one call of plan().
    struct Pass
    {
        const FleetState &state_;
        MonotonicTime now_;
        std::uint32_t loadsLeft_ = 0;
        std::vector<EngineOrder> orders_;
    };

    auto planJoins(Pass &pass, const Group &group, const Pool &pool) -> void;
    auto planLeaves(Pass &pass) -> void;
    auto planSpares(Pass &pass) -> void;
    /// How many more engines may be ordered to load weights now.
    auto loadsLeft(const FleetState &state, MonotonicTime now) const -> std::uint32_t;
    /// Whether the effect of \a sent is still to be announced.
    auto isAwaitingConfirmation(const SentOrder &sent, const Upstream &upstream,
                                MonotonicTime now) const -> bool;
    /// Sends \a order unless one is in flight or it would repeat one too soon.
    auto send(Pass &pass, const Upstream &upstream, const EngineOrder &order) -> void;

    std::map<UpstreamId, SentOrder> sent_;
};

} // namespace lycheereach
