/// \file
/// \brief Tracks the orders that EngineGatedPlanner sends to engines.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/EngineOrder.h"

#include <map>
#include <vector>

namespace lycheereach {

struct Upstream;

/// Allows each engine one order in flight. The next one waits until the first was answered or its
/// connection is closed; a repetition also waits until the engine had time to announce the effect.
/// Not thread-safe.
class OrderTracker
{
public:
    /// Queues \a order for sending if maySend() allows it; returns whether it did.
    auto send(const Upstream &upstream, const EngineOrder &order, MonotonicTime now) -> bool;
    /// Whether no order to the engine is in flight and the same order did not end too short a time
    /// ago.
    [[nodiscard]] auto maySend(const Upstream &upstream, const EngineOrder &order,
                               MonotonicTime now) const -> bool;
    /// The orders queued since the last call.
    auto takeQueued() -> std::vector<EngineOrder>;
    /// Records that the order in flight to \a upstream was answered, or that its connection is
    /// closed for good.
    auto markEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;
    /// Discards the orders in flight and those queued.
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

    std::map<UpstreamId, SentOrder> sent_;
    std::vector<EngineOrder> queued_;
};

} // namespace lycheereach
