#include "forward/HeldRequests.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lycheereach {

namespace {

/// A fleet that starts as a whole elects a leader and hands out state leases within this time.
constexpr auto startupHoldTime = std::chrono::milliseconds(3000);
/// A state lease that lapsed because the leader was lost is renewed by the next one within this
/// time, or the entry is cut off.
constexpr auto leaseRenewalTime = std::chrono::milliseconds(1000);
/// The longest that a request waits; callers abandon streams that give nothing for two seconds.
constexpr auto maxHoldTime = std::chrono::milliseconds(1200);
/// The part of a caller's time that may pass in waiting, so that enough is left to serve it, or to
/// come back after a refusal.
constexpr auto callerTimeoutDivisor = 3;
/// Requests held at once; each keeps its connection and its body.
constexpr auto maxHeldRequests = std::size_t{200};

} // namespace

HeldRequests::HeldRequests(MonotonicTime startedAt)
    : startedAt_(startedAt)
{ }

auto HeldRequests::recordServing(MonotonicTime now) -> void
{
    lastServingAt_ = now;
}

auto HeldRequests::holdUntil(std::optional<Duration> callerTimeout, MonotonicTime now) const
    -> std::optional<MonotonicTime>
{
    const auto end
        = lastServingAt_ ? *lastServingAt_ + leaseRenewalTime : startedAt_ + startupHoldTime;
    auto until = std::min(end, now + maxHoldTime);
    if (callerTimeout)
        until = std::min(until, now + *callerTimeout / callerTimeoutDivisor);
    if (until <= now || held_.size() >= maxHeldRequests)
        return std::nullopt;
    return until;
}

auto HeldRequests::add(HeldRequest held) -> void
{
    held_.push_back(std::move(held));
}

auto HeldRequests::takeExpired(MonotonicTime now) -> std::vector<HeldRequest>
{
    const auto isWaiting = [&](const HeldRequest &held) { return now < held.refuseAt_; };
    const auto firstExpired = std::stable_partition(held_.begin(), held_.end(), isWaiting);
    auto expired = std::vector<HeldRequest>(std::make_move_iterator(firstExpired),
                                            std::make_move_iterator(held_.end()));
    held_.erase(firstExpired, held_.end());
    return expired;
}

auto HeldRequests::takeAll() -> std::vector<HeldRequest>
{
    return std::exchange(held_, {});
}

} // namespace lycheereach
