/// \file
/// \brief A token bucket whose numbers come with every take.
#pragma once

#include "base/Time.h"
#include "requests/BudgetNumbers.h"

#include <optional>

namespace lycheereach {

/// A token bucket that starts full. A refused take leaves it as it was, and a clock behind the last
/// refill adds nothing. Not thread-safe.
class BudgetBucket
{
public:
    /// Takes \a cost when the bucket covers it.
    auto take(double cost, const BudgetNumbers &numbers, MonotonicTime now) -> bool;
    /// Puts back what a take had too much.
    auto putBack(double cost, const BudgetNumbers &numbers) -> void;
    /// What a take at \a now would find.
    [[nodiscard]] auto level(const BudgetNumbers &numbers, MonotonicTime now) const -> double;
    [[nodiscard]] auto refilledAt() const -> MonotonicTime { return refilledAt_; }

private:
    /// Nothing until the first take, which finds the bucket full.
    std::optional<double> tokens_;
    MonotonicTime refilledAt_;
};

} // namespace lycheereach
