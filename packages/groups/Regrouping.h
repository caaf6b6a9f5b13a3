/// \file
/// \brief Chooses groups to dissolve for a pool that has too few.
#pragma once

#include "groups/PoolSupply.h"
#include "groups/RegroupCandidate.h"

#include <vector>

namespace lycheereach {

/// The groups of one fabric domain to dissolve, so that their members and the domain's free
/// instances can form one more group of the pool with the lowest coverage, without a load of
/// weights. Empty unless the lower coverage of the two pools rises by enough to outweigh the time
/// during which the members of the old groups serve no requests. \a candidates are the instances of
/// all domains in which groups have recently neither formed nor ended.
auto groupsToDissolve(const std::vector<PoolSupply> &pools,
                      const std::vector<RegroupCandidate> &candidates) -> std::vector<GroupId>;

} // namespace lycheereach
