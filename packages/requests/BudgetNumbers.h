/// \file
/// \brief The size of a budget; travels with every take.
#pragma once

#include "base/JsonCodec.h"

namespace lycheereach {

/// The size of a budget; travels with every take.
struct BudgetNumbers
{
    double perSecond_ = 0;
    /// The most that a rested bucket holds.
    double burst_ = 0;

    auto operator==(const BudgetNumbers &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("perSecond", &BudgetNumbers::perSecond_),
                          field("burst", &BudgetNumbers::burst_)};
    }
};

} // namespace lycheereach
