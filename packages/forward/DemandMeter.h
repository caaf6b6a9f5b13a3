/// \file
/// \brief What callers have asked of each pool lately.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "state/PoolDemand.h"

#include <map>
#include <vector>

namespace lycheereach {

/// Averages the work that callers ask of each pool, with weights that fall exponentially with age.
/// Not thread-safe.
class DemandMeter
{
public:
    /// A request for \a pool came that keeps a full group busy for \a groupSeconds.
    auto addWork(const PoolName &pool, double groupSeconds, MonotonicTime now) -> void;
    /// The present average of each pool; nothing while too little was seen.
    [[nodiscard]] auto demand(MonotonicTime now) const -> std::vector<PoolDemand>;

private:
    /// The weighted sum of one pool, at the time of its last request.
    struct DecayingSum
    {
        double groupSeconds_ = 0;
        MonotonicTime updatedAt_;
    };

    std::map<PoolName, DecayingSum> sums_;
    /// When the first request came.
    MonotonicTime firstRequestAt_;
};

} // namespace lycheereach
