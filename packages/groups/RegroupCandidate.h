/// \file
/// \brief An instance that can be used for a group of another pool.
#pragma once

#include "base/Ids.h"

#include <set>

namespace lycheereach {

/// An instance that is free, or would be free if its group were dissolved.
struct RegroupCandidate
{
    FabricDomain domain_;
    /// The group that it serves in; empty when it is free.
    GroupId group_;
    /// The pool of that group.
    PoolName pool_;
    /// The pools whose groups it can join without a load of weights.
    std::set<PoolName> eligiblePools_;

    auto operator==(const RegroupCandidate &) const -> bool = default;
};

} // namespace lycheereach
