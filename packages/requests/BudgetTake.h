/// \file
/// \brief The message to the owner of a budget and its answer.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "requests/BudgetNumbers.h"

#include <cstdint>

namespace lycheereach {

/// Asks the owner of a workspace's budget for requests to admit.
struct BudgetTake
{
    WorkspaceName workspace_;
    BudgetNumbers numbers_;
    /// How many; the owner grants as many of them as its bucket covers.
    std::uint32_t count_ = 1;
    /// Requests of earlier grants that were not used.
    std::uint32_t unused_ = 0;

    auto operator==(const BudgetTake &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{
            field("workspace", &BudgetTake::workspace_), field("numbers", &BudgetTake::numbers_),
            field("count", &BudgetTake::count_), optionalField("unused", &BudgetTake::unused_)};
    }
};

/// The owner's answer.
struct BudgetGrant
{
    std::uint32_t granted_ = 0;
    /// When the bucket covers the next request.
    std::int64_t retryAfterMs_ = 0;

    auto operator==(const BudgetGrant &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("granted", &BudgetGrant::granted_),
                          optionalField("retryAfterMs", &BudgetGrant::retryAfterMs_)};
    }
};

} // namespace lycheereach
