/// \file
/// \brief What EngineGatedPlanner needs to know besides the replicated state.
#pragma once

#include "base/Time.h"
#include "state/Upstream.h"

#include <functional>
#include <map>

namespace lycheereach {

/// What EngineGatedPlanner needs to know besides the replicated state.
struct EngineGatedPlannerInputs
{
    MonotonicTime now_;
    /// How many full groups the callers' requests keep busy, by pool; empty while unknown.
    std::map<PoolName, double> busyGroupsByPool_;
    /// Whether the process that announced itself as this upstream is known to have ended; false
    /// also while that is unknown.
    std::function<bool(const Upstream &)> hasProcessEnded_;
};

} // namespace lycheereach
