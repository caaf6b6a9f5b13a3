#include "requests/BudgetOwner.h"

#include "requests/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace lycheereach {

auto BudgetOwner::grant(const BudgetTakeRequest &take, MonotonicTime now) -> BudgetGrant
{
    auto &bucket = buckets_[take.workspace_];
    bucket.refund(take.unused_, take.limits_);
    const auto wholeTokens = std::floor(bucket.available(take.limits_, now));
    const auto count = std::min<double>(take.count_, std::max(wholeTokens, 0.0));
    if (count >= 1 && bucket.tryTake(count, take.limits_, now))
        return {static_cast<std::uint32_t>(count), 0};
    constexpr auto millisecondsPerSecond = 1000.0;
    const auto missing = 1 - bucket.available(take.limits_, now);
    const auto rate = std::max(take.limits_.ratePerSecond_, 1e-3);
    const auto wait = std::ceil(missing / rate * millisecondsPerSecond);
    return {0, static_cast<std::int64_t>(wait)};
}

auto BudgetOwner::removeIdle(MonotonicTime before) -> void
{
    std::erase_if(buckets_, [&](const auto &entry) { return entry.second.refilledAt() < before; });
}

auto budgetOwnerOf(const WorkspaceName &workspace, const std::vector<EntryId> &entries)
    -> std::optional<EntryId>
{
    auto names = std::vector<std::string>{};
    for (const auto &entry : entries)
        names.push_back(entry.text());
    const auto index = rendezvousPick(workspace.text(), names);
    return index ? std::optional(entries[*index]) : std::nullopt;
}

} // namespace lycheereach
