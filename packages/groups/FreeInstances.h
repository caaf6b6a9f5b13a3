/// \file
/// \brief Which instances may get into a group.
#pragma once

#include "groups/FreeInstance.h"
#include "state/FleetState.h"

#include <vector>

namespace lycheereach {

/// Whether \a member of a group is lost or unknown.
auto isLost(const FleetState &state, const UpstreamId &member) -> bool;

/// Whether \a announced shows the weights of \a model.
auto hasWeights(const Announcement &announced, const std::string &model) -> bool;

/// Whether \a pool may have groups in \a zone.
auto mayBeIn(const Pool &pool, const ZoneName &zone) -> bool;

/// The instances of \a pool that may get into a group: they take work, their zone is not out, and
/// by the state and by their own announcement they are in no group.
auto freeInstances(const FleetState &state, const Pool &pool) -> std::vector<FreeInstance>;

} // namespace lycheereach
