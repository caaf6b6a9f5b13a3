/// \file
/// \brief Which groups to take apart for a pool that has too few.
#pragma once

#include "groups/PoolSupply.h"
#include "groups/RegroupCandidate.h"

#include <vector>

namespace lycheereach {

/// The groups of one fabric domain to take apart, so that their members and the free instances of
/// the domain form a group of the pool that is covered worst; none when that does not pay. It pays
/// when the worst coverage of the two pools rises by more than the time without the old groups
/// costs. No load of weights is needed afterwards. \a candidates are the instances of all domains;
/// those of domains that are not at rest are left out.
auto groupsToTakeApart(const std::vector<PoolSupply> &pools,
                       const std::vector<RegroupCandidate> &candidates) -> std::vector<GroupId>;

} // namespace lycheereach
