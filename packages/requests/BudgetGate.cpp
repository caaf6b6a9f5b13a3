#include "requests/BudgetGate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheereach {

namespace {

/// How much local traffic a take covers in advance.
constexpr auto secondsAhead = 0.1;
constexpr auto maxAhead = 32.0;
/// How long requests taken in advance are good for.
constexpr auto aheadTtl = std::chrono::milliseconds(500);
/// The owner is not asked again within this time, unless its bucket would be half full before.
constexpr auto minRefusal = std::chrono::milliseconds(50);
constexpr auto maxRefusal = std::chrono::milliseconds(200);
/// How long the local share is used before the owner is asked again.
constexpr auto localPeriod = std::chrono::seconds(1);
constexpr auto smoothing = 0.2;
constexpr auto minSeconds = 1e-4;

} // namespace

BudgetGate::BudgetGate(WorkspaceName workspace, const BudgetNumbers &numbers, std::uint32_t entries)
    : workspace_(std::move(workspace))
    , numbers_(numbers)
    , entries_(std::max(entries, 1U))
{ }

auto BudgetGate::setNumbers(const BudgetNumbers &numbers, std::uint32_t entries) -> void
{
    numbers_ = numbers;
    entries_ = std::max(entries, 1U);
}

auto BudgetGate::share() const -> BudgetNumbers
{
    return {numbers_.perSecond_ / entries_, std::max(numbers_.burst_ / entries_, 1.0)};
}

auto BudgetGate::noteDemand(MonotonicTime now) -> void
{
    if (lastRequest_) {
        const auto seconds = std::chrono::duration<double>(now - *lastRequest_).count();
        demand_ = std::lerp(demand_, 1 / std::max(seconds, minSeconds), smoothing);
    }
    lastRequest_ = now;
}

auto BudgetGate::admit(MonotonicTime now) -> Admission
{
    noteDemand(now);
    if (ahead_ > 0 && now < aheadUntil_) {
        --ahead_;
        return Admission::Admit;
    }
    if (now < localUntil_)
        return localShare_.take(1, share(), now) ? Admission::Admit : Admission::Refuse;
    return now < refusedUntil_ ? Admission::Refuse : Admission::AskOwner;
}

auto BudgetGate::nextTake(MonotonicTime now) -> BudgetTake
{
    const auto expired = ahead_ > 0 && now >= aheadUntil_;
    const auto unused = expired ? std::exchange(ahead_, 0) : 0;
    const auto cap = std::min(maxAhead, numbers_.burst_ / (2.0 * entries_));
    const auto ahead = std::min(demand_ * secondsAhead, cap);
    return {workspace_, numbers_, 1 + static_cast<std::uint32_t>(ahead), unused};
}

auto BudgetGate::granted(const BudgetGrant &grant, MonotonicTime now) -> Admission
{
    if (grant.granted_ == 0) {
        refusedUntil_ = now + refusalTime(grant);
        return Admission::Refuse;
    }
    ahead_ += grant.granted_ - 1;
    aheadUntil_ = now + aheadTtl;
    return Admission::Admit;
}

auto BudgetGate::refusalTime(const BudgetGrant &grant) const -> Duration
{
    const auto halfBurst
        = std::chrono::duration<double>(numbers_.burst_ / std::max(2 * numbers_.perSecond_, 1e-3));
    const auto longest = std::chrono::duration<double>(minRefusal);
    const auto pause = std::chrono::duration_cast<Duration>(std::min(halfBurst, longest));
    const auto wait = std::max<Duration>(pause, std::chrono::milliseconds(grant.retryAfterMs_));
    return std::min<Duration>(wait, maxRefusal);
}

auto BudgetGate::ownerUnreachable(MonotonicTime now) -> Admission
{
    localUntil_ = now + localPeriod;
    return localShare_.take(1, share(), now) ? Admission::Admit : Admission::Refuse;
}

auto BudgetGate::retryAfter(MonotonicTime now) const -> Duration
{
    const auto until = now < localUntil_ ? localUntil_ : refusedUntil_;
    return std::max<Duration>(until - now, std::chrono::milliseconds(1));
}

} // namespace lycheereach
