/// \file
/// \brief A token bucket whose rate and burst are passed to every call.
#pragma once

#include "base/Time.h"
#include "requests/BudgetLimits.h"

#include <optional>

namespace lycheereach {

/// A token bucket that starts full. A failed tryTake() takes nothing, and a time before the last
/// refill adds no tokens. Not thread-safe.
class TokenBucket
{
public:
    /// Takes \a cost tokens; false when there are fewer.
    auto tryTake(double cost, const BudgetLimits &limits, MonotonicTime now) -> bool;
    /// Returns \a unused tokens of earlier takes, up to the burst.
    auto refund(double unused, const BudgetLimits &limits) -> void;
    /// The tokens in the bucket at \a now.
    [[nodiscard]] auto available(const BudgetLimits &limits, MonotonicTime now) const -> double;
    [[nodiscard]] auto refilledAt() const -> MonotonicTime { return refilledAt_; }

private:
    /// Tokens at refilledAt_; not set before the first successful tryTake(),
    /// when the bucket is full.
    std::optional<double> tokens_;
    MonotonicTime refilledAt_;
};

} // namespace lycheereach
