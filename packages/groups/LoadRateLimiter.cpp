#include "groups/LoadRateLimiter.h"

#include <algorithm>
#include <chrono>

namespace lycheereach {

namespace {

/// Capacity of the bucket: loads that may begin at once after a time without any.
constexpr auto burstLoads = 3.0;
/// The fraction of the store's rate that is used, because engines may carry out orders late.
constexpr auto usedRateFraction = 0.9;

} // namespace

auto LoadRateLimiter::setRate(double loadsPerSecond) -> void
{
    refillRate_ = usedRateFraction * loadsPerSecond;
}

auto LoadRateLimiter::tryAcquire(MonotonicTime now) -> bool
{
    if (refillRate_ <= 0)
        return true;
    const auto elapsedSeconds = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(burstLoads, tokens_ + elapsedSeconds * refillRate_);
    refilledAt_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace lycheereach
