/// \file
/// \brief An instance that a group taken apart, or no group, leaves for another one.
#pragma once

#include "base/Ids.h"

#include <set>

namespace lycheereach {

/// An instance of a fabric domain that is free, or would be when its group was taken apart.
struct RegroupCandidate
{
    FabricDomain domain_;
    /// The group that it serves in; empty when it is free.
    GroupId group_;
    PoolName pool_;
    /// The pools that it may serve in without a load of weights.
    std::set<PoolName> fits_;

    auto operator==(const RegroupCandidate &) const -> bool = default;
};

} // namespace lycheereach
