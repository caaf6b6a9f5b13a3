/// \file
/// \brief Time limits of forwarded requests.
#pragma once

#include "base/Time.h"
#include "forward/AdmissionLimit.h"
#include "forward/ForwardRetryBudget.h"

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
    Duration shutdownAcceptTime_ = std::chrono::milliseconds(2800);
    /// An engine takes a new request while few wait; more would all begin late.
    AdmissionLimit newRequestLimit_ = {.maxWaiting_ = 3};
    /// As first_, for a further attempt at a request: a stream that was cut rather waits than ends.
    /// Engines queue as many.
    AdmissionLimit retryLimit_ = {.maxWaiting_ = 50};
    /// As first_, for requests that were held while the entry took no work: they are late already
    /// and leave room for those that are not.
    AdmissionLimit heldRequestLimit_ = {.maxFill_ = 0.5};
    RetryLimits retries_;

    auto operator==(const ForwardSettings &) const -> bool = default;
};

} // namespace lycheereach
