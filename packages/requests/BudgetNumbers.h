/// \file
/// \brief The rate and burst of a workspace's request budget.
#pragma once

#include "base/JsonCodec.h"

namespace lycheereach {

/// The rate and burst of a workspace's request budget; sent with every BudgetTake.
struct BudgetNumbers
{
    /// Requests each second.
    double perSecond_ = 0;
    /// The capacity of the token bucket, in requests.
    double burst_ = 0;

    auto operator==(const BudgetNumbers &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("perSecond", &BudgetNumbers::perSecond_),
                          field("burst", &BudgetNumbers::burst_)};
    }
};

} // namespace lycheereach
