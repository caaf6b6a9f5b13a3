/// \file
/// \brief Admits requests of a workspace at one entry under the fleet-wide budget.
#pragma once

#include "base/Time.h"
#include "requests/BudgetTakeRequest.h"
#include "requests/TokenBucket.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// What to do with a request.
enum class BudgetAdmission {
    Admit,
    Refuse,
    /// Send createTakeRequest() to the owner, then call handleGrant() or handleOwnerTimeout() to
    /// decide.
    AskOwner,
};

/// The budget of one workspace at one entry. Each take from the owner also prefetches requests for
/// the local traffic; unused ones expire and are returned with the next take. While the owner
/// can't be reached the entry admits an equal share of the budget from a bucket of its own: the
/// fleet as a whole stays within twice the budget, and no workspace stops because one entry is
/// down. Not thread-safe.
class BudgetClient
{
public:
    BudgetClient(WorkspaceName workspace, const BudgetLimits &limits, std::uint32_t entries);

    /// Decides whether one request is admitted at \a now.
    auto admit(MonotonicTime now) -> BudgetAdmission;
    /// The message to the owner, for the request that asks and those to prefetch.
    auto createTakeRequest(MonotonicTime now) -> BudgetTakeRequest;
    /// Handles the owner's answer to createTakeRequest(); admits the request that asked when at
    /// least one was granted.
    auto handleGrant(const BudgetGrant &grant, MonotonicTime now) -> BudgetAdmission;
    /// Decides about the request that asked from the local share, as the owner did not answer.
    auto handleOwnerTimeout(MonotonicTime now) -> BudgetAdmission;
    /// Applies the limits of a new declaration or a changed number of entries.
    auto setLimits(const BudgetLimits &limits, std::uint32_t entries) -> void;
    /// The time from \a now until a retry may succeed.
    [[nodiscard]] auto retryAfter(MonotonicTime now) const -> Duration;

private:
    /// This entry's equal share of the budget.
    [[nodiscard]] auto localLimits() const -> BudgetLimits;
    /// How long to refuse without asking, so that the owner's bucket refills by several requests.
    [[nodiscard]] auto refusalTime(const BudgetGrant &grant) const -> Duration;
    auto updateDemand(MonotonicTime now) -> void;

    WorkspaceName workspace_;
    BudgetLimits limits_;
    std::uint32_t entries_;
    /// Requests granted in advance and not yet used.
    std::uint32_t prefetched_ = 0;
    MonotonicTime prefetchedUntil_;
    /// Requests are refused without asking the owner until then.
    MonotonicTime refusedUntil_;
    /// The local share is used without asking the owner until then.
    MonotonicTime localUntil_;
    TokenBucket localBucket_;
    /// Smoothed rate of requests at this entry.
    double demandPerSecond_ = 0;
    std::optional<MonotonicTime> lastRequestAt_;
};

} // namespace lycheereach
