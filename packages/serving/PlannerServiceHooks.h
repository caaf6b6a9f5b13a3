/// \file
/// \brief Functions that a PlannerService calls in its process.
#pragma once

#include "base/Event.h"
#include "base/Time.h"

#include <functional>

namespace lycheereach {

struct EngineOrder;

/// Functions that a PlannerService calls in its process.
struct PlannerServiceHooks
{
    /// Sends an order over a connection of its own and calls \a ended when that connection is
    /// closed for good.
    std::function<void(const EngineOrder &order, std::function<void(bool accepted)> ended)>
        sendOrder_;
    EventSink event_;
    MonotonicClock now_;
};

} // namespace lycheereach
