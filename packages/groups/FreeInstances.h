/// \file
/// \brief Finds the instances that can become members of a new group.
#pragma once

#include "groups/FreeInstance.h"
#include "state/FleetState.h"

#include <vector>

namespace lycheereach {

/// Whether \a member of a group is lost or unknown.
auto isMemberLost(const FleetState &state, const UpstreamId &member) -> bool;

/// Whether the upstream that \a announced holds the weights of \a model.
auto hasWeights(const Announcement &announced, const std::string &model) -> bool;

/// Whether \a pool may have groups in \a zone.
auto allowsZone(const Pool &pool, const ZoneName &zone) -> bool;

/// The instances that can become members of a new group of \a pool: they may take work, the pool
/// allows their zone, the zone is not out, and they are in no group by the state and by their own
/// announcement.
auto freeInstances(const FleetState &state, const Pool &pool) -> std::vector<FreeInstance>;

} // namespace lycheereach
