/// \file
/// \brief Messages: a take from a budget's owner and its answer, tied by their number.
#pragma once

#include "requests/BudgetTakeRequest.h"

#include <cstdint>

namespace lycheereach {

/// Message `budget.take`.
struct NumberedTake
{
    std::uint64_t number_ = 0;
    BudgetTakeRequest take_;

    auto operator==(const NumberedTake &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &NumberedTake::number_),
                          field("take", &NumberedTake::take_)};
    }
};

/// Message `budget.grant`.
struct NumberedGrant
{
    std::uint64_t number_ = 0;
    BudgetGrant grant_;

    auto operator==(const NumberedGrant &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &NumberedGrant::number_),
                          field("grant", &NumberedGrant::grant_)};
    }
};

} // namespace lycheereach
