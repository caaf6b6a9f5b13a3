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

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

class LogCore;

/// Runs a LogCore: carries out its actions on a LogStorage and through ReplicaHooks. Not
/// thread-safe.
///
/// After a failed write or sync the replica stops participating: it sends no acknowledgement or
/// vote and does not lead until everything that it holds in memory is written to new files, which
/// it tries periodically. While its disk is full, a follower refuses new records; a leader goes on
/// while the other voters can commit them, and steps down when that lasts.
class Replica
{
public:
    Replica(ReplicaSettings settings, std::unique_ptr<LogStorage> storage, ReplicaHooks hooks);
    Replica(const Replica &) = delete;
    auto operator=(const Replica &) -> Replica & = delete;
    ~Replica();

    /// Loads the log, restores the snapshot and applies the records known to be committed. Must be
    /// called before anything else.
    auto open(MonotonicTime now) -> Result<Nothing>;
    /// Must be called several times per heartbeat interval.
    auto tick(MonotonicTime now) -> void;
    auto receive(const EntryId &from, const Json &message, MonotonicTime now) -> void;
    /// Appends a command, which is sent by the next flush(). It is committed when
    /// ReplicaHooks::apply_ gets a record with the returned position, and lost when apply_ gets one
    /// with the same index and another term.
    auto propose(std::string payload, MonotonicTime now) -> Result<LogPosition>;
    /// Sends all proposals since the last call and makes them durable with one sync.
    auto flush(MonotonicTime now) -> void;

    /// Adds or removes one voter; the voter to add must be a learner that has caught up.
    auto changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                      MonotonicTime now) -> Result<LogPosition>;
    /// Makes this replica send records to \a name while it leads. The set of learners is not
    /// replicated.
    auto addLearner(const EntryId &name) -> void;
    auto removeLearner(const EntryId &name) -> void;

    [[nodiscard]] auto role() const -> ReplicaRole;
    [[nodiscard]] auto leader() const -> std::optional<EntryId>;
    [[nodiscard]] auto term() const -> Term;
    [[nodiscard]] auto commitIndex() const -> LogIndex;
    [[nodiscard]] auto lastIndex() const -> LogIndex;
    [[nodiscard]] auto voters() const -> VoterSet;
    /// While this replica leads: voters whose messages carry another generation than the voter set,
    /// because their disk was lost.
    [[nodiscard]] auto wipedVoters() const -> std::set<EntryId>;
    /// While this replica leads: voters that have not answered for an election timeout.
    [[nodiscard]] auto silentVoters() const -> std::set<EntryId>;
    /// While this replica leads: learners that have caught up and are in contact.
    [[nodiscard]] auto readyLearners() const -> std::set<EntryId>;
    [[nodiscard]] auto identity() const -> VoterIdentity;
    /// Whether this replica leads at \a now, no other can, and everything committed is applied.
    [[nodiscard]] auto holdsLeaderLease(MonotonicTime now) const -> bool;
    /// The committed records from \a from on that fit in \a limitBytes of payload; the first one is
    /// returned even if it does not fit.
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
    auto takeSnapshot() -> void;
    auto markDiskFailed(const Failure &failure) -> void;
    /// Writes everything to new files when that is due; returns whether the disk works again.
    auto tryRecoverDisk() -> bool;
    /// Tells the core whether the disk has space for \a bytes more.
    auto updateDiskSpace(std::size_t bytes) -> void;
    /// Lets another voter lead when the disk of this leader has been full for long.
    auto stepDownWhenFull() -> void;
    auto emitDiskSpace() -> void;
    auto emitChanges() -> void;
    auto emitRefusedVote() -> void;
    /// Emits an event, from time to time, while this replica has no leader.
    auto emitLeaderMissing() -> void;
    /// The voters, each with its answer to the last vote that this replica asked for.
    [[nodiscard]] auto describeVoters() const -> std::string;
    auto measure(std::string_view kind, const std::function<void()> &work) -> void;
    auto emit(EventNumber number, std::map<std::string, std::string> attributes) -> void;

    ReplicaSettings settings_;
    std::unique_ptr<LogStorage> storage_;
    ReplicaHooks hooks_;
    std::unique_ptr<LogCore> core_;
    /// The time of the last call.
    MonotonicTime now_;
    bool diskFailed_ = false;
    MonotonicTime nextRecoveryAt_;
    Duration recoveryDelay_ = Duration::zero();
    /// The last sync found the disk full, so nothing that depends on it may be sent.
    bool syncBlocked_ = false;
    /// Whether the disk had space for records at the last tick.
    bool hasSpace_ = true;
    /// Since when the disk is full, as of the last event; nullopt while it has space.
    std::optional<MonotonicTime> fullSince_;
    /// After a snapshot that the disk had no space for, no other is taken before this time.
    MonotonicTime nextSnapshotAt_;
    MonotonicTime nextRefusalReportAt_;
    MonotonicTime nextMissingReportAt_;
    /// The leader and the voters as of the last events.
    std::optional<EntryId> reportedLeader_;
    VoterSet reportedVoters_;
};

} // namespace lycheereach
