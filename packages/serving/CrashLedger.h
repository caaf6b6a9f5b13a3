/// \file
/// \brief Finds what crashes upstreams from the reports of all entries, on the control processes.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "requests/BlockExpiry.h"
#include "requests/SuspicionTable.h"
#include "serving/CrashLedgerHooks.h"
#include "state/Command.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

class ControlService;

/// Finds the requests, and the parts of prompts, that crash upstreams. Entries report to every
/// control process what was in flight when an upstream crashed, and what they know to be sound; so
/// a new leader knows as much as the one before. The leader tells all entries the suspects, so that
/// those which have served one clear it, and has the causes blocked in the replicated state. A
/// cause is unblocked once no entry has refused a request for it for a while. Thread-safe; guarded
/// by one lock of rank LockRank::Leaseholder.
class CrashLedger
{
public:
    CrashLedger(ControlService &control, CrashLedgerHooks hooks);

    /// Handles a message of an entry; false when \a method is not one of this class.
    auto receive(const std::string &method, const Json &params) -> bool;
    /// Call it several times within the settle time of a crash.
    auto tick() -> void;

private:
    auto recordReport(const Json &params) -> void;
    /// Commands to propose at \a now.
    auto takeCommands(MonotonicTime now) -> std::vector<Command>;
    /// On the leader: tells the entries the suspects that they were not told yet.
    auto tellNewSuspects() -> void;

    ControlService &control_;
    CrashLedgerHooks hooks_;
    RankedMutex mutex_;
    SuspicionTable table_;
    /// Suspects that the entries were told, on the leader.
    std::set<std::string> toldSuspects_;
    /// Causes that are not in the replicated state yet, and when each was last proposed.
    std::map<std::string, MonotonicTime> pendingBlocks_;
    BlockExpiry blockExpiry_;
};

} // namespace lycheereach
