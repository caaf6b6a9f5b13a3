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
    /// Whether it can join a group of the pool without a load of weights.
    bool hasWeights_ = false;
    /// Whether its last group served the pool's model. It then joins another group of the model
    /// fastest, even if its host holds the weights of another model.
    bool isPrepared_ = false;
    /// Whether it may be in a group that spans fabric domains.
    bool mayCrossDomains_ = false;
};

} // namespace lycheereach
