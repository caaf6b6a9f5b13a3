#include "requests/BudgetClient.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheereach {

namespace {

/// A take also asks for the requests that are expected within this time.
constexpr auto prefetchSeconds = 0.1;
constexpr auto maxPrefetchedRequests = 32.0;
/// Prefetched requests not used within this time are returned to the owner.
constexpr auto prefetchTtl = std::chrono::milliseconds(500);
/// Bounds of the time after a refusal in which the owner is not asked again. The lower bound is
/// shorter when the owner's bucket refills by half its burst sooner.
constexpr auto minRefusalTime = std::chrono::milliseconds(50);
constexpr auto maxRefusalTime = std::chrono::milliseconds(200);
/// How long the local share is used before an unreachable owner is asked again.
constexpr auto ownerRetryInterval = std::chrono::seconds(1);
/// The weight of the newest interval in the smoothed demand.
constexpr auto demandSmoothingFactor = 0.2;
/// Lower bound of the interval between two requests, to bound the demand.
constexpr auto minIntervalSeconds = 1e-4;

} // namespace

BudgetClient::BudgetClient(WorkspaceName workspace, const BudgetLimits &limits,
                           std::uint32_t entries)
    : workspace_(std::move(workspace))
    , limits_(limits)
    , entries_(std::max(entries, 1U))
{ }

auto BudgetClient::setLimits(const BudgetLimits &limits, std::uint32_t entries) -> void
{
    limits_ = limits;
    entries_ = std::max(entries, 1U);
}

auto BudgetClient::localLimits() const -> BudgetLimits
{
    return {limits_.ratePerSecond_ / entries_, std::max(limits_.burst_ / entries_, 1.0)};
}

auto BudgetClient::updateDemand(MonotonicTime now) -> void
{
    if (lastRequestAt_) {
        const auto seconds = std::chrono::duration<double>(now - *lastRequestAt_).count();
        demandPerSecond_ = std::lerp(demandPerSecond_, 1 / std::max(seconds, minIntervalSeconds),
                                     demandSmoothingFactor);
    }
    lastRequestAt_ = now;
}

auto BudgetClient::admit(MonotonicTime now) -> BudgetAdmission
{
    updateDemand(now);
    if (prefetched_ > 0 && now < prefetchedUntil_) {
        --prefetched_;
        return BudgetAdmission::Admit;
    }
    if (now < localUntil_)
        return localBucket_.tryTake(1, localLimits(), now) ? BudgetAdmission::Admit
                                                           : BudgetAdmission::Refuse;
    return now < refusedUntil_ ? BudgetAdmission::Refuse : BudgetAdmission::AskOwner;
}

auto BudgetClient::createTakeRequest(MonotonicTime now) -> BudgetTakeRequest
{
    const auto hasExpired = prefetched_ > 0 && now >= prefetchedUntil_;
    const auto unused = hasExpired ? std::exchange(prefetched_, 0) : 0;
    const auto maxPrefetch = std::min(maxPrefetchedRequests, limits_.burst_ / (2.0 * entries_));
    const auto prefetch = std::min(demandPerSecond_ * prefetchSeconds, maxPrefetch);
    return {workspace_, limits_, 1 + static_cast<std::uint32_t>(prefetch), unused};
}

auto BudgetClient::handleGrant(const BudgetGrant &grant, MonotonicTime now) -> BudgetAdmission
{
    if (grant.granted_ == 0) {
        refusedUntil_ = now + refusalTime(grant);
        return BudgetAdmission::Refuse;
    }
    prefetched_ += grant.granted_ - 1;
    prefetchedUntil_ = now + prefetchTtl;
    return BudgetAdmission::Admit;
}

auto BudgetClient::refusalTime(const BudgetGrant &grant) const -> Duration
{
    const auto halfBurstTime = std::chrono::duration<double>(
        limits_.burst_ / std::max(2 * limits_.ratePerSecond_, 1e-3));
    const auto maxPause = std::chrono::duration<double>(minRefusalTime);
    const auto pause = std::chrono::duration_cast<Duration>(std::min(halfBurstTime, maxPause));
    const auto wait = std::max<Duration>(pause, std::chrono::milliseconds(grant.retryAfterMs_));
    return std::min<Duration>(wait, maxRefusalTime);
}

auto BudgetClient::handleOwnerTimeout(MonotonicTime now) -> BudgetAdmission
{
    localUntil_ = now + ownerRetryInterval;
    return localBucket_.tryTake(1, localLimits(), now) ? BudgetAdmission::Admit
                                                       : BudgetAdmission::Refuse;
}

auto BudgetClient::retryAfter(MonotonicTime now) const -> Duration
{
    const auto until = now < localUntil_ ? localUntil_ : refusedUntil_;
    return std::max<Duration>(until - now, std::chrono::milliseconds(1));
}

} // namespace lycheereach
