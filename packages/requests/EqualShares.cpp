#include "requests/EqualShares.h"

#include <algorithm>

namespace lycheereach {

EqualShares::EqualShares(const BudgetNumbers &limits, std::uint32_t entries)
    : shareLimits_{limits.perSecond_ / entries, std::max(limits.burst_ / entries, 1.0)}
{ }

auto EqualShares::admit(MonotonicTime now) -> bool
{
    return bucket_.tryTake(1, shareLimits_, now);
}

} // namespace lycheereach
