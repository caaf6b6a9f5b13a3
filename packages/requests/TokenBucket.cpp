#include "requests/TokenBucket.h"

#include <algorithm>

namespace lycheereach {

auto TokenBucket::available(const BudgetLimits &limits, MonotonicTime now) const -> double
{
    if (!tokens_)
        return limits.burst_;
    const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    return std::min(*tokens_ + std::max(elapsed, 0.0) * limits.ratePerSecond_, limits.burst_);
}

auto TokenBucket::tryTake(double cost, const BudgetLimits &limits, MonotonicTime now) -> bool
{
    const auto refilled = available(limits, now);
    if (refilled < cost)
        return false;
    refilledAt_ = tokens_ ? std::max(refilledAt_, now) : now;
    tokens_ = refilled - cost;
    return true;
}

auto TokenBucket::refund(double unused, const BudgetLimits &limits) -> void
{
    if (tokens_)
        tokens_ = std::min(*tokens_ + unused, limits.burst_);
}

} // namespace lycheereach
