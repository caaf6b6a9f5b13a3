#include "forward/DemandMeter.h"

#include <chrono>
#include <cmath>

namespace lycheereach {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the exponential decay; work of this age counts about a third. Long enough to
/// smooth single large requests, short compared to the bursts that the groups have to follow.
constexpr auto decayTime = Seconds(4);
/// No average is reported until this long after the first request.
constexpr auto warmUpTime = std::chrono::seconds(2);

auto decayed(double sum, Duration age) -> double
{
    return sum * std::exp(-Seconds(age) / decayTime);
}

} // namespace

auto DemandMeter::addWork(const PoolName &pool, double groupSeconds, MonotonicTime now) -> void
{
    if (sums_.empty())
        firstRequestAt_ = now;
    auto &sum = sums_[pool];
    sum.groupSeconds_ = decayed(sum.groupSeconds_, now - sum.updatedAt_) + groupSeconds;
    sum.updatedAt_ = now;
}

auto DemandMeter::demand(MonotonicTime now) const -> std::vector<PoolDemand>
{
    if (sums_.empty() || now - firstRequestAt_ < warmUpTime)
        return {};
    // Normalizes by the time observed so far, so that the first averages are not too low.
    const auto totalWeight
        = decayTime.count() * (1 - std::exp(-Seconds(now - firstRequestAt_) / decayTime));
    auto demand = std::vector<PoolDemand>{};
    for (const auto &[pool, sum] : sums_)
        demand.push_back({pool, decayed(sum.groupSeconds_, now - sum.updatedAt_) / totalWeight});
    return demand;
}

} // namespace lycheereach
