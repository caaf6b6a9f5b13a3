#include "leases/StateLease.h"

#include <algorithm>
#include <iterator>

namespace lycheereach {

namespace {

/// Renewals that may be under way at once; older ones are taken for lost.
constexpr auto renewalsUnderWay = std::size_t{16};

} // namespace

StateLease::StateLease(RenewalNumber lastNumber)
    : lastNumber_(lastNumber)
{ }

auto StateLease::renewalSent(MonotonicTime now) -> RenewalNumber
{
    if (sent_.size() >= renewalsUnderWay)
        sent_.erase(sent_.begin());
    sent_[++lastNumber_] = now;
    return lastNumber_;
}

auto StateLease::granted(RenewalNumber number, Duration duration, LogIndex requiredIndex) -> void
{
    const auto found = sent_.find(number);
    if (found == sent_.end())
        return;
    const auto end = found->second + duration;
    end_ = end_ ? std::max(*end_, end) : end;
    requiredIndex_ = std::max(requiredIndex_, requiredIndex);
    sent_.erase(sent_.begin(), std::next(found));
}

auto StateLease::surrender() -> void
{
    end_.reset();
    sent_.clear();
}

auto StateLease::allowsWork(LogIndex applied, MonotonicTime now) const -> bool
{
    return applied >= requiredIndex_ && remaining(now) > Duration::zero();
}

auto StateLease::remaining(MonotonicTime now) const -> Duration
{
    if (!end_)
        return Duration::zero();
    return std::max(Duration::zero(), *end_ - now);
}

} // namespace lycheereach
