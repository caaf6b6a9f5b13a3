/// \file
/// \brief Time limits of forwarded requests.
#pragma once

#include "base/Time.h"
#include "forward/RetryAllowance.h"

#include <chrono>
#include <cstdint>

namespace lycheereach {

/// Time limits of forwarded requests.
struct ForwardSettings
{
    /// The longest time to connect to an upstream.
    Duration connectTimeout_ = std::chrono::milliseconds(250);
    /// Silence allowed in a stream between two events.
    Duration streamIdleTimeout_ = std::chrono::milliseconds(1200);
    /// Silence allowed before the first event of a stream; callers give up a stream that pauses for
    /// two seconds.
    Duration firstEventTimeout_ = std::chrono::milliseconds(1800);
    /// A leaving entry takes new requests for so long, since callers still hold its address; those
    /// that come later are refused, so that all that it took can end in time.
    Duration takesWhileLeaving_ = std::chrono::milliseconds(2800);
    /// Requests that may wait at an engine for a place when a new one comes; more would all begin
    /// late.
    std::uint32_t waitingAllowed_ = 3;
    /// As waitingAllowed_, for a further attempt at a request: a stream that was cut rather waits
    /// than ends. Engines queue as many.
    std::uint32_t waitingAllowedAgain_ = 50;
    RetryLimits retries_;

    auto operator==(const ForwardSettings &) const -> bool = default;
};

} // namespace lycheereach
