#include "forward/DemandMeter.h"

#include <chrono>
#include <cmath>

namespace lycheereach {

namespace {

using Seconds = std::chrono::duration<double>;

/// Work this old weighs a third: long enough to smooth single large requests, short beside the
/// bursts that groups are to follow.
constexpr auto memory = Seconds(4);
/// Nothing is told before requests have come for so long.
constexpr auto firstWindow = std::chrono::seconds(2);

auto decayed(double sum, Duration age) -> double
{
    return sum * std::exp(-Seconds(age) / memory);
}

} // namespace

auto DemandMeter::note(const PoolName &pool, double groupSeconds, MonotonicTime now) -> void
{
    if (sums_.empty())
        since_ = now;
    auto &sum = sums_[pool];
    sum.groupSeconds_ = decayed(sum.groupSeconds_, now - sum.at_) + groupSeconds;
    sum.at_ = now;
}

auto DemandMeter::demand(MonotonicTime now) const -> std::vector<PoolDemand>
{
    if (sums_.empty() || now - since_ < firstWindow)
        return {};
    // The first seconds weigh as much as the full memory would.
    const auto weight = memory.count() * (1 - std::exp(-Seconds(now - since_) / memory));
    auto demand = std::vector<PoolDemand>{};
    for (const auto &[pool, sum] : sums_)
        demand.push_back({pool, decayed(sum.groupSeconds_, now - sum.at_) / weight});
    return demand;
}

} // namespace lycheereach
