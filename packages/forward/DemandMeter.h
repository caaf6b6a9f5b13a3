/// \file
/// \brief Measures the recent demand of callers for each pool.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "state/PoolDemand.h"

#include <map>
#include <vector>

namespace lycheereach {

/// Exponentially decaying average of the work that callers request from each pool. Not
/// thread-safe.
class DemandMeter
{
public:
    /// Records a request for \a pool that occupies a fully loaded group for \a groupSeconds.
    auto addWork(const PoolName &pool, double groupSeconds, MonotonicTime now) -> void;
    /// The current average of each pool; empty in the first seconds after the first request.
    [[nodiscard]] auto demand(MonotonicTime now) const -> std::vector<PoolDemand>;

private:
    /// The decayed sum of one pool as of its last request.
    struct DecayingSum
    {
        double groupSeconds_ = 0;
        MonotonicTime updatedAt_;
    };

    std::map<PoolName, DecayingSum> sums_;
    /// When the first request to any pool arrived.
    MonotonicTime firstRequestAt_;
};

} // namespace lycheereach
