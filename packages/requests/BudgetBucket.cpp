#include "requests/BudgetBucket.h"

#include <algorithm>

namespace lycheereach {

auto BudgetBucket::level(const BudgetNumbers &numbers, MonotonicTime now) const -> double
{
    if (!tokens_)
        return numbers.burst_;
    const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    return std::min(*tokens_ + std::max(elapsed, 0.0) * numbers.perSecond_, numbers.burst_);
}

auto BudgetBucket::take(double cost, const BudgetNumbers &numbers, MonotonicTime now) -> bool
{
    const auto refilled = level(numbers, now);
    if (refilled < cost)
        return false;
    refilledAt_ = tokens_ ? std::max(refilledAt_, now) : now;
    tokens_ = refilled - cost;
    return true;
}

auto BudgetBucket::putBack(double cost, const BudgetNumbers &numbers) -> void
{
    if (tokens_)
        tokens_ = std::min(*tokens_ + cost, numbers.burst_);
}

} // namespace lycheereach
