/// \file
/// \brief Admits requests of a workspace at one entry under the fleet-wide budget.
#pragma once

#include "base/Time.h"
#include "requests/BudgetBucket.h"
#include "requests/BudgetTake.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// What to do with a request.
enum class Admission {
    Admit,
    Refuse,
    /// Ask the owner with nextTake(), then feed its answer and ask again.
    AskOwner,
};

/// One workspace's budget at one entry. Takes from the owner a few requests ahead, as the local
/// traffic needs; what is left over after a while goes back with the next take. An owner that
/// can't be reached is no refusal: until it answers again the entry admits its equal share of the
/// budget from a bucket of its own, so that the fleet as a whole stays within twice the budget and
/// no workspace stops because of one entry. Not thread-safe.
class BudgetGate
{
public:
    BudgetGate(WorkspaceName workspace, const BudgetNumbers &numbers, std::uint32_t entries);

    /// Decides over one request at \a now.
    auto admit(MonotonicTime now) -> Admission;
    /// The message to the owner.
    auto nextTake(MonotonicTime now) -> BudgetTake;
    /// The owner's answer to nextTake(); the request that asked is admitted when one was granted.
    auto granted(const BudgetGrant &grant, MonotonicTime now) -> Admission;
    /// The owner did not answer; decides over the request that asked from the local share.
    auto ownerUnreachable(MonotonicTime now) -> Admission;
    /// Takes over numbers of a new declaration or another count of entries.
    auto setNumbers(const BudgetNumbers &numbers, std::uint32_t entries) -> void;
    /// When trying again may succeed.
    [[nodiscard]] auto retryAfter(MonotonicTime now) const -> Duration;

private:
    [[nodiscard]] auto share() const -> BudgetNumbers;
    /// How long to refuse without asking, so that the owner's bucket has several requests again.
    [[nodiscard]] auto refusalTime(const BudgetGrant &grant) const -> Duration;
    auto noteDemand(MonotonicTime now) -> void;

    WorkspaceName workspace_;
    BudgetNumbers numbers_;
    std::uint32_t entries_;
    std::uint32_t ahead_ = 0;
    MonotonicTime aheadUntil_;
    /// Refuses without asking until then.
    MonotonicTime refusedUntil_;
    /// Uses the local share without asking until then.
    MonotonicTime localUntil_;
    BudgetBucket localShare_;
    /// Smoothed requests each second at this entry.
    double demand_ = 0;
    std::optional<MonotonicTime> lastRequest_;
};

} // namespace lycheereach
