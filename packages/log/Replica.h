/// \file
/// \brief One replica of the replicated log.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "log/CommittedRecords.h"
#include "log/LogAction.h"
#include "log/LogStorage.h"
#include "log/ReplicaHooks.h"
#include "log/ReplicaRole.h"
#include "log/ReplicaSettings.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

class LogCore;

/// Carries out the actions of a LogCore on a LogStorage. Not thread-safe.
///
/// After a failed write or sync the replica is silent for good: it acknowledges nothing, votes for
/// nobody and leads nothing until the process is started again on a sound disk. A full disk refuses
/// new records and leaves everything else running.
class Replica
{
public:
    Replica(ReplicaSettings settings, std::unique_ptr<LogStorage> storage, ReplicaHooks hooks);
    Replica(const Replica &) = delete;
    auto operator=(const Replica &) -> Replica & = delete;
    ~Replica();

    /// Loads the log, restores the snapshot and applies what is known to be committed. Required
    /// before every other call.
    auto open(MonotonicTime now) -> Result<Nothing>;
    /// To be called several times in a heartbeat interval.
    auto tick(MonotonicTime now) -> void;
    auto receive(const EntryId &from, const Json &message, MonotonicTime now) -> void;
    /// Appends a command; it leaves with the next flush(). It is committed when apply_ sees the
    /// returned position and lost when apply_ sees another term at its index.
    auto propose(std::string payload, MonotonicTime now) -> Result<LogPosition>;
    /// Sends and syncs all proposals since the last call, with one sync.
    auto flush(MonotonicTime now) -> void;

    /// Adds or removes one voter; the voter to add must be a learner that has caught up.
    auto changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                      MonotonicTime now) -> Result<LogPosition>;
    /// Has this replica, while it leads, replicate to \a name. Not replicated itself.
    auto addLearner(const EntryId &name) -> void;
    auto removeLearner(const EntryId &name) -> void;

    [[nodiscard]] auto role() const -> ReplicaRole;
    [[nodiscard]] auto leader() const -> std::optional<EntryId>;
    [[nodiscard]] auto term() const -> Term;
    [[nodiscard]] auto commitIndex() const -> LogIndex;
    [[nodiscard]] auto lastIndex() const -> LogIndex;
    [[nodiscard]] auto voters() const -> VoterSet;
    /// While this replica leads: voters that were heard under another identity, because their disk
    /// was lost.
    [[nodiscard]] auto wipedVoters() const -> std::set<EntryId>;
    [[nodiscard]] auto identity() const -> VoterIdentity;
    /// Whether this replica leads at \a now, no other can, and everything committed is applied.
    [[nodiscard]] auto holdsLeaderLease(MonotonicTime now) const -> bool;
    /// Committed records from \a from on, at least one and then up to \a limitBytes.
    [[nodiscard]] auto recordsFrom(LogIndex from, std::size_t limitBytes) const -> CommittedRecords;
    [[nodiscard]] auto latestSnapshot() const -> LogSnapshot;
    [[nodiscard]] auto diskFailed() const -> bool { return diskFailed_; }

private:
    auto performActions() -> void;
    auto perform(const StageWrites &action) -> void;
    auto perform(const SyncWrites &action) -> void;
    auto perform(const InstallSnapshot &action) -> void;
    auto perform(const SendMessage &action) -> void;
    auto perform(const ApplyRecords &action) -> void;
    auto takeSnapshotWhenDue() -> void;
    auto markDiskFailed(const Failure &failure) -> void;
    auto emitChanges() -> void;
    auto emit(EventNumber number, std::map<std::string, std::string> attributes) -> void;

    ReplicaSettings settings_;
    std::unique_ptr<LogStorage> storage_;
    ReplicaHooks hooks_;
    std::unique_ptr<LogCore> core_;
    bool diskFailed_ = false;
    /// The last sync found the disk full, so nothing that depends on it may be sent.
    bool syncBlocked_ = false;
    std::optional<EntryId> reportedLeader_;
    VoterSet reportedVoters_;
};

} // namespace lycheereach
