/// \file
/// \brief Timeouts and load limits of forwarded requests.
#pragma once

#include "base/Time.h"
#include "forward/AdmissionLimit.h"
#include "forward/ForwardRetryBudget.h"

#include <chrono>
#include <cstdint>

namespace lycheereach {

/// Timeouts and load limits of forwarded requests.
struct ForwardSettings
{
    /// Timeout of connecting to an upstream.
    Duration connectTimeout_ = std::chrono::milliseconds(250);
    /// After this time between two events of a stream another upstream is tried beside its own.
    Duration streamIdleTimeout_ = std::chrono::milliseconds(1200);
    /// As streamIdleTimeout_, before the first event; callers abandon a stream that is silent for
    /// two seconds.
    Duration firstEventTimeout_ = std::chrono::milliseconds(1800);
    /// How long an entry accepts new requests after its shutdown began, since callers still use its
    /// address. Later requests are refused, so that those accepted can complete in time.
    Duration shutdownAcceptTime_ = std::chrono::milliseconds(2800);
    /// As shutdownAcceptTime_, as a share of the time until the remaining requests are ended.
    double shutdownAcceptShare_ = 0.375;
    /// Limit for new requests: behind a longer queue all of them would start late.
    AdmissionLimit newRequestLimit_ = {.maxWaiting_ = 3};
    /// Limit for retries: a broken stream had better wait than fail. Engines queue up to 50
    /// requests.
    AdmissionLimit retryLimit_ = {.maxWaiting_ = 50};
    /// Limit for requests that were held while the entry was not ready: they are already late and
    /// leave capacity for requests that are not.
    AdmissionLimit heldRequestLimit_ = {.maxFill_ = 0.5};
    RetryLimits retries_;

    auto operator==(const ForwardSettings &) const -> bool = default;
};

} // namespace lycheereach
