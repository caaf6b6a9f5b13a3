/// \file
/// \brief The orders to engines that keep the gate of their group.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/MemberOrder.h"

#include <map>
#include <vector>

namespace lycheereach {

struct Upstream;

/// Keeps one order in flight for each engine: the next one waits until the first was answered or
/// its connection is closed, and a repetition also until the engine had time to announce the
/// effect. Not thread-safe.
class GateOrders
{
public:
    /// Sends \a order unless one is in flight or the same one was sent a short time ago; says
    /// whether it did.
    auto send(const Upstream &upstream, const MemberOrder &order, MonotonicTime now) -> bool;
    /// Whether \a order could be sent now.
    [[nodiscard]] auto maySend(const Upstream &upstream, const MemberOrder &order,
                               MonotonicTime now) const -> bool;
    /// The orders sent since the last call.
    auto take() -> std::vector<MemberOrder>;
    /// The order in flight to \a upstream was answered, or its connection is closed for good.
    auto ended(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;
    /// Forgets all that is in flight.
    auto reset() -> void;

private:
    struct Sent
    {
        MemberOrder order_;
        Incarnation incarnation_ = 0;
        bool inFlight_ = true;
        bool accepted_ = false;
        MonotonicTime endedAt_;
    };

    std::map<UpstreamId, Sent> sent_;
    std::vector<MemberOrder> orders_;
};

} // namespace lycheereach
