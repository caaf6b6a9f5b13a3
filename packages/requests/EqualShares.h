/// \file
/// \brief Static equal shares of a budget; the baseline that BudgetGate is measured against.
#pragma once

#include "base/Time.h"
#include "requests/TokenBucket.h"

#include <cstdint>

namespace lycheereach {

/// The budget of one workspace at one entry, as a fixed equal share of the fleet's budget.
class EqualShares
{
public:
    EqualShares(const BudgetNumbers &limits, std::uint32_t entries);

    auto admit(MonotonicTime now) -> bool;

private:
    BudgetNumbers shareLimits_;
    TokenBucket bucket_;
};

} // namespace lycheereach
