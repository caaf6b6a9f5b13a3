#include "forward/DemandMeter.h"

#include <chrono>
#include <cmath>

namespace lycheereach {

namespace {

using Seconds = std::chrono::duration<double>;

/// Work this old weighs a third: long enough to smooth single large requests, short beside the
/// bursts that groups are to follow.
constexpr auto decayTime = Seconds(4);
/// Nothing is told before requests have come for so long.
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
    // The first seconds weigh as much as the full memory would.
    const auto totalWeight
        = decayTime.count() * (1 - std::exp(-Seconds(now - firstRequestAt_) / decayTime));
    auto demand = std::vector<PoolDemand>{};
    for (const auto &[pool, sum] : sums_)
        demand.push_back({pool, decayed(sum.groupSeconds_, now - sum.updatedAt_) / totalWeight});
    return demand;
}

} // namespace lycheereach
