/// \file
/// \brief Peer messages that take requests from a workspace's budget and grant them.
#pragma once

#include "requests/BudgetTakeRequest.h"

#include <cstdint>

namespace lycheereach {

/// Message `budget.take`, sent to the owner of the budget.
struct BudgetTakeMessage
{
    std::uint64_t number_ = 0;
    BudgetTakeRequest take_;

    auto operator==(const BudgetTakeMessage &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &BudgetTakeMessage::number_),
                          field("take", &BudgetTakeMessage::take_)};
    }
};

/// Message `budget.grant`, the answer to the `budget.take` with the same number.
struct BudgetGrantMessage
{
    std::uint64_t number_ = 0;
    BudgetGrant grant_;

    auto operator==(const BudgetGrantMessage &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &BudgetGrantMessage::number_),
                          field("grant", &BudgetGrantMessage::grant_)};
    }
};

} // namespace lycheereach
