#include "forward/HeldRequests.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lycheereach {

namespace {

/// Time in which a fleet that starts as a whole elects a leader and grants state leases.
constexpr auto startupHoldTime = std::chrono::milliseconds(3000);
/// Time in which the next leader renews a state lease that expired because the leader was lost; an
/// entry without a lease for longer is cut off.
constexpr auto leaseRenewalTime = std::chrono::milliseconds(1000);
/// Longest time that a request is held; callers abandon streams that are silent for two seconds.
constexpr auto maxHoldTime = std::chrono::milliseconds(1200);
/// A request is held for at most the caller's timeout divided by this, so that enough time is left
/// to serve it, or for the caller to retry after a refusal.
constexpr auto callerTimeoutDivisor = 3;
/// Requests held at once; each one keeps its connection and body in memory.
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
