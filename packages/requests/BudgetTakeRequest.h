/// \file
/// \brief Messages between an entry and the entry that owns a workspace's budget.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "requests/BudgetLimits.h"

#include <cstdint>

namespace lycheereach {

/// Asks the owner of a workspace's budget for the right to admit requests.
struct BudgetTakeRequest
{
    WorkspaceName workspace_;
    BudgetLimits limits_;
    /// How many requests; the owner may grant fewer.
    std::uint32_t count_ = 1;
    /// Requests granted earlier that expired unused; they go back to the bucket.
    std::uint32_t unused_ = 0;

    auto operator==(const BudgetTakeRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("workspace", &BudgetTakeRequest::workspace_),
                          field("numbers", &BudgetTakeRequest::limits_),
                          field("count", &BudgetTakeRequest::count_),
                          optionalField("unused", &BudgetTakeRequest::unused_)};
    }
};

/// The owner's answer to a BudgetTakeRequest.
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
