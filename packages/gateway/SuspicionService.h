/// \file
/// \brief Shares among all entries which requests were in flight when an upstream crashed.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "requests/BlockExpiry.h"
#include "requests/CrashReport.h"
#include "requests/ProvenFingerprints.h"
#include "requests/SuspicionTable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

class ControlService;
class WorkerPool;

/// Receives the ruling on a request once every entry has acknowledged the crash or timed out.
using RulingCallback = std::function<void(SuspicionStatus)>;

/// Shares crash reports among all entries, so that each rules alike on a request that may crash
/// upstreams. Thread-safe; guarded by one lock of rank LockRank::Requests.
class SuspicionService
{
public:
    using Send = std::function<void(const EntryId &, const std::string &method, Json params)>;

    SuspicionService(EntryId self, ControlService &control, WorkerPool &workers, Send send,
                     EventSink eventSink, MonotonicClock clock);

    /// Updates the blocked requests from the replicated state. Call it after every change.
    auto stateChanged() -> void;
    /// Blocks the causes of crashes that have settled, finishes reports, and forgets old
    /// suspicions. Call it several times within SuspicionTable::fleetSettleTime.
    auto tick() -> void;
    /// Handles a message of a peer; false when \a method belongs to another service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Tells every entry that a request with \a fingerprints was in flight when \a target crashed.
    /// Leaves out the parts with which a request ended well recently at this entry.
    auto reportCrash(const std::string &target, Epoch epoch,
                     const std::vector<std::string> &fingerprints, RulingCallback done) -> void;
    /// A request with \a fingerprints ran to the end, so every entry clears those suspected.
    auto requestServed(const std::vector<std::string> &fingerprints) -> void;
    /// A request with \a fingerprints was refused as blocked, so that they stay blocked.
    auto requestRefused(const std::vector<std::string> &fingerprints) -> void;
    [[nodiscard]] auto ruling(const std::vector<std::string> &fingerprints) const
        -> SuspicionStatus;
    /// The first of \a fingerprints that is suspected.
    [[nodiscard]] auto findSuspect(const std::vector<std::string> &fingerprints) const
        -> std::optional<std::string>;
    /// At the leaseholder of \a target: whether \a fingerprint may start there; see
    /// SuspicionTable::admit().
    auto admit(const std::string &target, const std::string &fingerprint) -> bool;
    /// At the leaseholder of \a target: the request no longer runs there.
    auto leave(const std::string &target, const std::string &fingerprint) -> void;

private:
    /// A crash report that has not settled, or that other entries have yet to acknowledge.
    struct PendingReport
    {
        std::vector<std::string> fingerprints_;
        std::set<EntryId> unacknowledgedBy_;
        MonotonicTime settledAt_;
        MonotonicTime timeoutAt_;
        RulingCallback done_;
    };

    /// Tells every entry which of \a fingerprints are proven at this one.
    auto clearProven(const std::vector<std::string> &fingerprints) -> void;
    /// Tells every other entry that requests with \a fingerprints ended well.
    auto sendServed(const std::vector<std::string> &fingerprints) -> void;
    /// On the leader: proposes to unblock the fingerprints that are no longer refused.
    auto proposeUnblocks() -> void;
    /// Proposes to block the causes that are not blocked yet in the replicated state.
    auto proposeBlocks() -> void;
    /// Calls the callback of the report with the ruling, on a worker thread.
    auto finishReport(PendingReport report) -> void;
    /// The live entries without this one.
    [[nodiscard]] auto otherEntries() const -> std::set<EntryId>;

    EntryId self_;
    ControlService &control_;
    WorkerPool &workers_;
    Send send_;
    EventSink eventSink_;
    MonotonicClock clock_;
    mutable RankedMutex mutex_;
    SuspicionTable table_;
    /// By message number.
    std::map<std::uint64_t, PendingReport> pendingReports_;
    std::uint64_t lastReportNumber_ = 0;
    ProvenFingerprints proven_;
    /// Causes that the replicated state does not have as blocked yet, and when that was proposed.
    std::map<std::string, MonotonicTime> pendingBlocks_;
    BlockExpiry blockExpiry_;
    /// When the other entries were last told of refusals for a blocked fingerprint.
    std::map<std::string, MonotonicTime> refusalToldAt_;
};

} // namespace lycheereach
