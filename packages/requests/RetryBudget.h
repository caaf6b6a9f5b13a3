/// \file
/// \brief Limits retries to a percentage of first attempts.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

/// A token bucket that limits retries to a percentage of first attempts, and allows a few retries
/// each second whatever the traffic. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(std::uint32_t percent);

    auto setPercent(std::uint32_t percent) -> void;
    /// Counts a first attempt.
    auto recordFirstAttempt() -> void;
    /// Takes one retry; false when the budget is exhausted.
    auto tryTakeRetry(MonotonicTime now) -> bool;

private:
    /// Retries allowed for each 100 first attempts.
    std::uint32_t percent_;
    /// Retries allowed now; a fraction counts towards the next one.
    double tokens_;
    MonotonicTime refilledAt_;
};

} // namespace lycheereach
