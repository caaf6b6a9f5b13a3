/// \file
/// \brief Holds loads of weights to the rate of the weight store.
#pragma once

#include "base/Time.h"

namespace lycheereach {

/// A bucket of loads that may begin. Not thread-safe.
class LoadRate
{
public:
    /// Sets the rate; 0 sets no limit.
    auto setRate(double loadsPerSecond) -> void;
    /// Takes one load; false when the store is not to be asked for another one yet.
    auto take(MonotonicTime now) -> bool;

private:
    double perSecond_ = 0;
    double tokens_ = 0;
    MonotonicTime refilledAt_;
};

} // namespace lycheereach
