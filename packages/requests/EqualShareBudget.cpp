#include "requests/EqualShareBudget.h"

#include <algorithm>

namespace lycheereach {

EqualShareBudget::EqualShareBudget(const BudgetLimits &limits, std::uint32_t entries)
    : shareLimits_{limits.ratePerSecond_ / entries, std::max(limits.burst_ / entries, 1.0)}
{ }

auto EqualShareBudget::admit(MonotonicTime now) -> bool
{
    return bucket_.tryTake(1, shareLimits_, now);
}

} // namespace lycheereach
