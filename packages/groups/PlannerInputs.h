/// \file
/// \brief What the planner needs to know besides the replicated state.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <functional>
#include <map>
#include <set>

namespace lycheereach {

/// What the planner needs to know besides the replicated state.
struct PlannerInputs
{
    MonotonicTime now_;
    /// The entries that renew their state leases.
    std::set<EntryId> liveEntries_;
    /// Whether every entry that could act on the last lease of a group has confirmed its
    /// revocation or has lost its state lease.
    std::function<bool(const GroupId &)> revokedInForce_;
    /// Groups that callers keep busy, by pool; empty while it is not known.
    std::map<PoolName, double> demand_;
};

} // namespace lycheereach
