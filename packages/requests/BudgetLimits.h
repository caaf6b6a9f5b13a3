/// \file
/// \brief The rate and burst of a workspace's request budget.
#pragma once

#include "base/JsonCodec.h"

namespace lycheereach {

/// The rate and burst of a workspace's request budget; sent with every BudgetTakeRequest.
struct BudgetLimits
{
    /// Requests each second.
    double ratePerSecond_ = 0;
    /// The capacity of the token bucket, in requests.
    double burst_ = 0;

    auto operator==(const BudgetLimits &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("perSecond", &BudgetLimits::ratePerSecond_),
                          field("burst", &BudgetLimits::burst_)};
    }
};

} // namespace lycheereach
