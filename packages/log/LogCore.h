/// \file
/// \brief The decisions of the replicated log: events in, actions out.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "log/LogAction.h"
#include "log/RecordSequence.h"
#include "log/ReplicaRole.h"
#include "log/ReplicaSettings.h"
#include "log/StoredLog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Raft with pre-votes, leases with check-quorum and single-step voter changes. Has no clock, disk
/// or network: every event carries the time, and takeActions() says what to do. VoterIdentity
/// explains how a cluster is founded and what becomes of a voter that lost its disk.
///
/// The lease of a leader rests on the promise of every replica to refuse votes for an election
/// timeout after it heard from a leader, and for as long after it was opened.
class LogCore
{
public:
    /// \a stored must have an identity.
    LogCore(ReplicaSettings settings, const StoredLog &stored, RandomSource random,
            MonotonicTime now);

    auto tick(MonotonicTime now) -> void;
    auto receive(const EntryId &from, const LogMessage &message, MonotonicTime now) -> void;
    /// Appends a command when this replica is the leader.
    auto propose(std::string payload, MonotonicTime now) -> Result<LogPosition>;
    /// Adds or removes one voter.
    auto changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                      MonotonicTime now) -> Result<LogPosition>;
    auto addLearner(const EntryId &name) -> void;
    auto removeLearner(const EntryId &name) -> void;
    /// Whether the disk takes more records.
    auto setDiskHasSpace(bool hasSpace) -> void;

    /// What to do next, until empty; new records are sent and synced in one batch.
    auto takeActions() -> std::vector<LogAction>;
    /// Everything staged is durable, up to \a lastIndex.
    auto onSynced(LogIndex lastIndex) -> void;
    /// Takes note of a durable snapshot of the applied state.
    auto compact(std::string bytes) -> void;
    /// A snapshot as of the last applied record.
    [[nodiscard]] auto makeSnapshot(std::string bytes) const -> LogSnapshot;

    [[nodiscard]] auto role() const -> ReplicaRole;
    [[nodiscard]] auto leader() const -> std::optional<EntryId> { return leader_; }
    [[nodiscard]] auto state() const -> LogState { return state_; }
    [[nodiscard]] auto log() const -> const RecordSequence & { return log_; }
    [[nodiscard]] auto appliedIndex() const -> LogIndex { return appliedIndex_; }
    [[nodiscard]] auto wipedVoters() const -> std::set<EntryId>;
    [[nodiscard]] auto identity() const -> const VoterIdentity & { return self_; }
    /// Whether no other replica can be leader at \a now and everything committed before is applied.
    [[nodiscard]] auto holdsLeaderLease(MonotonicTime now) const -> bool;

private:
    struct Peer
    {
        LogIndex nextIndex_ = 1;
        LogIndex matchIndex_ = 0;
        /// The generation of its last message.
        std::uint64_t generation_ = 0;
        /// When the last request that it answered was sent.
        std::optional<MonotonicTime> lastContact_;
        /// When the last request that it accepted was sent.
        MonotonicTime lastAcceptedAt_;
        MonotonicTime nextHeartbeatAt_;
        MonotonicTime nextSnapshotAt_;
        bool diskFull_ = false;
        /// A request was refused: one message at a time until one is accepted.
        bool probing_ = false;
        bool probeSent_ = false;
    };

    auto bootstrapTick() -> void;
    auto bootstrap(std::string cluster, const VoterSet &voters) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const Greeting &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const BootstrapReply &body) -> void;

    auto handle(const EntryId &from, const LogMessage &message, const VoteRequest &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const VoteReply &body) -> void;
    auto startElection(bool preVote) -> void;
    /// Asks whether all voters have just started, and stands for election when they say so. No
    /// voter that leads or follows is among them then, so nobody's lease has to run out first.
    auto sendRestartProbe() -> void;
    [[nodiscard]] auto maySendRestartProbe() const -> bool;
    auto handleRestartReply(const EntryId &from, const LogMessage &message, const VoteReply &body)
        -> void;
    /// A random part of \a longest.
    auto randomDelay(Duration longest) -> Duration;
    auto becomeLeader() -> void;
    auto becomeFollower(Term term, std::optional<EntryId> leader) -> void;
    auto resetElectionTimer() -> void;
    [[nodiscard]] auto isVoter() const -> bool;
    [[nodiscard]] auto mustRefuseVotes() const -> bool;
    [[nodiscard]] auto hasVoteQuorum() const -> bool;

    auto handle(const EntryId &from, const LogMessage &message, const AppendRequest &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const AppendReply &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const InstallRequest &body) -> void;
    auto acceptLeader(const EntryId &from, const LogMessage &message) -> bool;
    auto appendFromLeader(const AppendRequest &body) -> AppendReply;
    auto appendAsLeader(RecordKind kind, std::string payload) -> LogPosition;
    auto appendRecord(const LogRecord &record) -> void;
    auto truncateAfter(LogIndex index) -> void;
    auto advanceCommitIndex() -> void;
    auto leaderTick() -> void;
    auto updatePeers() -> void;
    auto sendRecords(const EntryId &name, Peer &peer, bool heartbeat) -> void;
    auto sendNewRecords(const EntryId &name, Peer &peer) -> void;
    auto sendSnapshot(const EntryId &name, Peer &peer) -> void;
    auto replicateToPeers() -> void;
    [[nodiscard]] auto findVoterPeer(const VoterIdentity &voter) const -> const Peer *;
    [[nodiscard]] auto quorumContactTime() const -> std::optional<MonotonicTime>;
    [[nodiscard]] auto diskFullBlocksQuorum() const -> bool;
    [[nodiscard]] auto validateVoterChange(const std::optional<EntryId> &add,
                                           const std::optional<EntryId> &remove) const
        -> Result<Nothing>;
    [[nodiscard]] auto notLeaderFailure() const -> Failure;

    auto send(const EntryId &to, LogMessageBody body) -> void;
    auto sendWithTerm(const EntryId &to, LogMessageBody body, Term term) -> void;
    auto markUnsynced() -> void;

    ReplicaSettings settings_;
    VoterIdentity self_;
    RandomSource random_;
    MonotonicTime now_;
    LogState state_;
    RecordSequence log_;
    LogIndex appliedIndex_ = 0;
    LogIndex syncedIndex_ = 0;
    Term syncedTerm_ = 0;
    bool diskHasSpace_ = true;

    ReplicaRole role_ = ReplicaRole::Follower;
    std::optional<EntryId> leader_;
    MonotonicTime lastLeaderContact_;
    MonotonicTime electionDeadline_;
    std::set<EntryId> votesReceived_;
    /// Whether this process has neither led nor followed since it started.
    bool noLeaderSinceStart_ = true;
    /// Whether it has stood for election since then; after a split vote the timeouts decide.
    bool hasStartedElection_ = false;
    MonotonicTime nextRestartProbeAt_;
    std::uint64_t restartProbeRound_ = 0;
    /// Voters that have just started, as they answered in this round.
    std::set<EntryId> restartedVoters_;
    std::map<EntryId, std::uint64_t> bootstrapPeers_;
    std::set<EntryId> confirmedPeers_;
    MonotonicTime nextGreetingAt_;

    MonotonicTime becameLeaderAt_;
    LogIndex termStartIndex_ = 0;
    std::map<EntryId, Peer> peers_;
    std::set<EntryId> learners_;

    bool needsSync_ = false;
    std::optional<LogIndex> pendingTruncation_;
    std::vector<LogRecord> pendingRecords_;
    bool pendingInstall_ = false;
    std::vector<SendMessage> sendsBeforeSync_;
    std::vector<SendMessage> sendsAfterSync_;
};

} // namespace lycheereach
