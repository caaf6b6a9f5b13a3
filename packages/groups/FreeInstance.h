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
    bool hasWeights_ = false;
    /// Whether it may be in a group that spans fabric domains.
    bool mayCross_ = false;
};

} // namespace lycheereach
