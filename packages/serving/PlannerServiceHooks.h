/// \file
/// \brief What a PlannerService needs from its process.
#pragma once

#include "base/Event.h"
#include "base/Time.h"

#include <functional>

namespace lycheereach {

struct MemberOrder;

/// What a PlannerService needs from its process.
struct PlannerServiceHooks
{
    /// Sends an order over a connection of its own; \a ended is called when that connection is
    /// closed for good.
    std::function<void(const MemberOrder &order, std::function<void(bool accepted)> ended)>
        sendOrder_;
    EventSink event_;
    MonotonicClock now_;
};

} // namespace lycheereach
