/// \file
/// \brief Messages between an entry and the entry that owns a workspace's budget.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "requests/BudgetNumbers.h"

#include <cstdint>

namespace lycheereach {

/// Asks the owner of a workspace's budget for the right to admit requests.
struct BudgetTake
{
    WorkspaceName workspace_;
    BudgetNumbers numbers_;
    /// How many requests; the owner may grant fewer.
    std::uint32_t count_ = 1;
    /// Requests granted earlier that expired unused; they go back to the bucket.
    std::uint32_t unused_ = 0;

    auto operator==(const BudgetTake &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{
            field("workspace", &BudgetTake::workspace_), field("numbers", &BudgetTake::numbers_),
            field("count", &BudgetTake::count_), optionalField("unused", &BudgetTake::unused_)};
    }
};

/// The owner's answer to a BudgetTake.
struct BudgetGrant
{
    /// How many requests may be admitted.
    std::uint32_t granted_ = 0;
    /// When nothing was granted: the time until the bucket has a token for one request.
    std::int64_t retryAfterMs_ = 0;

    auto operator==(const BudgetGrant &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("granted", &BudgetGrant::granted_),
                          optionalField("retryAfterMs", &BudgetGrant::retryAfterMs_)};
    }
};

} // namespace lycheereach
