/// \file
/// \brief Holds retries to a share of first attempts.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

/// Allows retries as a share of the first attempts, and a few each second whatever the traffic.
/// Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(std::uint32_t percent);

    auto setPercent(std::uint32_t percent) -> void;
    /// Counts a first attempt.
    auto noteFirstAttempt() -> void;
    /// Takes one retry; false when the budget is spent.
    auto takeRetry(MonotonicTime now) -> bool;

private:
    std::uint32_t percent_;
    double tokens_;
    MonotonicTime refilledAt_;
};

} // namespace lycheereach
