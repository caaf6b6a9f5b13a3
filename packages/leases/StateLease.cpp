#include "leases/StateLease.h"

#include <algorithm>
#include <iterator>

namespace lycheereach {

namespace {

/// Renewals that may await an answer at once; older ones count as lost.
constexpr auto maxUnansweredRenewals = std::size_t{16};

} // namespace

StateLease::StateLease(RenewalNumber lastNumber)
    : lastNumber_(lastNumber)
{ }

auto StateLease::startRenewal(MonotonicTime now) -> RenewalNumber
{
    if (renewals_.size() >= maxUnansweredRenewals)
        renewals_.erase(renewals_.begin());
    renewals_[++lastNumber_] = now;
    return lastNumber_;
}

auto StateLease::renewalGranted(RenewalNumber number, Duration duration, LogIndex requiredIndex)
    -> void
{
    const auto found = renewals_.find(number);
    if (found == renewals_.end())
        return;
    const auto expiresAt = found->second + duration;
    expiresAt_ = expiresAt_ ? std::max(*expiresAt_, expiresAt) : expiresAt;
    requiredIndex_ = std::max(requiredIndex_, requiredIndex);
    renewals_.erase(renewals_.begin(), std::next(found));
}

auto StateLease::release() -> void
{
    expiresAt_.reset();
    renewals_.clear();
}

auto StateLease::allowsWork(LogIndex applied, MonotonicTime now) const -> bool
{
    return applied >= requiredIndex_ && remaining(now) > Duration::zero();
}

auto StateLease::remaining(MonotonicTime now) const -> Duration
{
    if (!expiresAt_)
        return Duration::zero();
    return std::max(Duration::zero(), *expiresAt_ - now);
}

} // namespace lycheereach
