#include "requests/EqualShares.h"

#include <algorithm>

namespace lycheereach {

EqualShares::EqualShares(const BudgetNumbers &numbers, std::uint32_t entries)
    : share_{numbers.perSecond_ / entries, std::max(numbers.burst_ / entries, 1.0)}
{ }

auto EqualShares::admit(MonotonicTime now) -> bool
{
    return bucket_.take(1, share_, now);
}

} // namespace lycheereach
