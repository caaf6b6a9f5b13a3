/// \file
/// \brief What GatePlanner needs to know besides the replicated state.
#pragma once

#include "base/Time.h"
#include "state/Upstream.h"

#include <functional>
#include <map>

namespace lycheereach {

/// What GatePlanner needs to know besides the replicated state.
struct GatePlannerInputs
{
    MonotonicTime now_;
    /// Groups that callers keep busy, by pool; empty while it is not known.
    std::map<PoolName, double> demand_;
    /// Whether the process that announced itself as this upstream is known to have ended; may say
    /// false for one that has.
    std::function<bool(const Upstream &)> hasEnded_;
};

} // namespace lycheereach
