/// \file
/// \brief Shares among all entries which requests were in flight when an upstream crashed.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "requests/CrashReport.h"
#include "requests/SuspicionTable.h"

#include <functional>
#include <map>
#include <set>
#include <string>

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
    /// Finishes reports that were not acknowledged in time, and forgets old suspicions. Call it
    /// regularly.
    auto tick() -> void;
    /// Handles a message of a peer; false when \a method belongs to another service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Tells every entry that \a fingerprint was in flight when \a target crashed.
    auto reportCrash(const std::string &target, Epoch epoch, const std::string &fingerprint,
                     RulingCallback done) -> void;
    /// A suspect ran to the end, so every entry clears it.
    auto requestServed(const std::string &fingerprint) -> void;
    [[nodiscard]] auto ruling(const std::string &fingerprint) const -> SuspicionStatus;
    /// At the leaseholder of \a target: whether \a fingerprint may start there; see
    /// SuspicionTable::admit().
    auto admit(const std::string &target, const std::string &fingerprint) -> bool;
    /// At the leaseholder of \a target: the request no longer runs there.
    auto leave(const std::string &target, const std::string &fingerprint) -> void;

private:
    /// A crash report that other entries have yet to acknowledge.
    struct PendingReport
    {
        std::string fingerprint_;
        std::set<EntryId> unacknowledgedBy_;
        MonotonicTime timeoutAt_;
        RulingCallback done_;
    };

    /// Adds \a crash to the table and proposes to block the requests that caused it.
    auto recordCrash(const CrashReport &crash) -> void;
    auto handleAcknowledgement(std::uint64_t number, const EntryId &from) -> void;
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
};

} // namespace lycheereach
