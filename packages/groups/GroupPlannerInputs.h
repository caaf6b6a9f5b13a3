/// \file
/// \brief What GroupPlanner needs to know besides the replicated state.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <functional>
#include <map>
#include <set>

namespace lycheereach {

/// What GroupPlanner needs to know besides the replicated state.
struct GroupPlannerInputs
{
    MonotonicTime now_;
    /// The entries that keep renewing their state leases.
    std::set<EntryId> liveEntries_;
    /// Whether every entry that could still act on the group's last lease has confirmed that the
    /// lease was revoked, or has lost its state lease.
    std::function<bool(const GroupId &)> isRevocationInForce_;
    /// How many full groups the callers' requests keep busy, by pool; empty while unknown.
    std::map<PoolName, double> busyGroupsByPool_;
};

} // namespace lycheereach
