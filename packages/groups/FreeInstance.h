/// \file
/// \brief An instance that is in no group.
#pragma once

#include "base/Ids.h"

#include <cstdint>

namespace lycheereach {

/// An instance that is in no group.
struct FreeInstance
{
    UpstreamId upstream_;
    ZoneName zone_;
    FabricDomain domain_;
    std::uint32_t accelerators_ = 0;
    /// Whether it joins a group of the pool without a load.
    bool hasWeights_ = false;
    /// Whether its last group was of the pool; it joins another one soonest, and its host may hold
    /// the weights of another model.
    bool isPrepared_ = false;
    /// Whether it may be in a group that spans fabric domains.
    bool mayCross_ = false;
};

} // namespace lycheereach
