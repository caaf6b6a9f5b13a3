/// \file
/// \brief Limits loads of weights to the rate of the weight store.
#pragma once

#include "base/Time.h"

namespace lycheereach {

/// A token bucket of loads that may begin. Not thread-safe.
class LoadRateLimiter
{
public:
    /// Sets the rate of the weight store; 0 removes the limit.
    auto setRate(double loadsPerSecond) -> void;
    /// Takes a token for one load; false when no load may begin now.
    auto tryAcquire(MonotonicTime now) -> bool;

private:
    double refillRate_ = 0;
    double tokens_ = 0;
    MonotonicTime refilledAt_;
};

} // namespace lycheereach
