/// \file
/// \brief Budgets by equal shares of every entry; the baseline that BudgetGate is measured against.
#pragma once

#include "base/Time.h"
#include "requests/BudgetBucket.h"

#include <cstdint>

namespace lycheereach {

/// One workspace's budget at one entry as a fixed share.
class EqualShares
{
public:
    EqualShares(const BudgetNumbers &numbers, std::uint32_t entries);

    auto admit(MonotonicTime now) -> bool;

private:
    BudgetNumbers share_;
    BudgetBucket bucket_;
};

} // namespace lycheereach
