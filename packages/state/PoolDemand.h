/// \file
/// \brief The work that callers ask of a pool.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

namespace lycheereach {

/// The work that callers ask of a pool, served or not.
struct PoolDemand
{
    PoolName pool_;
    /// Seconds of a full group that the requests of one second take.
    double groups_ = 0;

    auto operator==(const PoolDemand &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("pool", &PoolDemand::pool_), field("groups", &PoolDemand::groups_)};
    }
};

} // namespace lycheereach
