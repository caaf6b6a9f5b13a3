/// \file
/// \brief Static equal shares of a budget; the baseline that BudgetClient is measured against.
#pragma once

#include "base/Time.h"
#include "requests/TokenBucket.h"

#include <cstdint>

namespace lycheereach {

/// The budget of one workspace at one entry, as a fixed equal share of the fleet's budget.
class EqualShareBudget
{
public:
    EqualShareBudget(const BudgetLimits &limits, std::uint32_t entries);

    auto admit(MonotonicTime now) -> bool;

private:
    BudgetLimits shareLimits_;
    TokenBucket bucket_;
};

} // namespace lycheereach
