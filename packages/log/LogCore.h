/// \file
/// \brief The Raft algorithm of the replicated log, without I/O: events in, actions out.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "log/LogAction.h"
#include "log/RecordSequence.h"
#include "log/RefusedVote.h"
#include "log/ReplicaRole.h"
#include "log/ReplicaSettings.h"
#include "log/StoredLog.h"
#include "log/VoteAnswer.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Raft with pre-votes, leader leases with check-quorum, and single-step voter changes. Has no
/// clock, disk or network: every event carries the time, and takeActions() returns what to do.
/// VoterIdentity explains how a cluster is bootstrapped and how a voter that lost its disk is
/// treated.
///
/// The leader lease is safe because every replica refuses votes for one election timeout after it
/// last heard from a leader, and for as long after it was opened (see sendRestartProbe() for the
/// exception).
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
    /// Adds or removes one voter when this replica is the leader; exactly one argument is set.
    auto changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                      MonotonicTime now) -> Result<LogPosition>;
    auto addLearner(const EntryId &name) -> void;
    auto removeLearner(const EntryId &name) -> void;
    /// Sets whether the disk has space for more records.
    auto setDiskHasSpace(bool hasSpace) -> void;
    /// Stops leading or standing for election, so that another voter can lead.
    auto stepDown(MonotonicTime now) -> void;

    /// Returns the next actions; to be called until it returns none. New records are sent and
    /// synced in one batch.
    auto takeActions() -> std::vector<LogAction>;
    /// Reports that all staged writes, up to \a lastIndex, are durable.
    auto onSynced(LogIndex lastIndex) -> void;
    /// Reports that a snapshot of the applied state is durable, and drops older records.
    auto compact(std::string bytes) -> void;
    /// A snapshot as of the last applied record, with \a bytes from the state machine.
    [[nodiscard]] auto makeSnapshot(std::string bytes) const -> LogSnapshot;

    [[nodiscard]] auto role() const -> ReplicaRole;
    [[nodiscard]] auto leader() const -> std::optional<EntryId> { return leader_; }
    [[nodiscard]] auto state() const -> LogState { return state_; }
    [[nodiscard]] auto log() const -> const RecordSequence & { return log_; }
    [[nodiscard]] auto appliedIndex() const -> LogIndex { return appliedIndex_; }
    [[nodiscard]] auto wipedVoters() const -> std::set<EntryId>;
    /// While this replica leads: the voters that have not answered the heartbeats of the last
    /// election timeout, or the first ones of this leader, before which an election timeout passed.
    [[nodiscard]] auto silentVoters() const -> std::set<EntryId>;
    /// While this replica leads: the replicas that changeVoters() could add now and that answer
    /// heartbeats.
    [[nodiscard]] auto readyLearners() const -> std::set<EntryId>;
    [[nodiscard]] auto identity() const -> const VoterIdentity & { return self_; }
    /// The last vote that this replica refused since the call before.
    auto takeRefusedVote() -> std::optional<RefusedVote>;
    /// When this replica last heard from a leader or led itself; when it was opened if it has not.
    [[nodiscard]] auto lastLeaderTime() const -> MonotonicTime;
    /// The answers to the last vote or pre-vote that this replica asked for and that has ended;
    /// voters that did not answer are missing.
    [[nodiscard]] auto lastVoteAnswers() const -> const std::map<EntryId, VoteAnswer> &
    {
        return lastVoteAnswers_;
    }
    /// Whether this replica leads, no other can be leader at \a now, and everything committed
    /// before is applied.
    [[nodiscard]] auto holdsLeaderLease(MonotonicTime now) const -> bool;
    /// While this replica leads: whether the other voters can commit records without its disk. A
    /// quorum of them was heard recently, has disk space and everything that is committed.
    [[nodiscard]] auto othersCanCommit() const -> bool;

private:
    struct Peer
    {
        /// The index of the next record to send.
        LogIndex nextIndex_ = 1;
        /// The last index that the peer is known to have synced.
        LogIndex matchIndex_ = 0;
        /// The generation in its last message; 0 before the first one.
        std::uint64_t generation_ = 0;
        /// When the latest request that it answered was sent; nullopt if it answered none.
        std::optional<MonotonicTime> lastContact_;
        /// When the latest request that it accepted was sent.
        MonotonicTime lastAcceptedAt_;
        MonotonicTime nextHeartbeatAt_;
        /// Heartbeats sent since its last message. A leader that has not heard the peer yet adds
        /// those that it would have sent before its election.
        unsigned unansweredHeartbeats_ = 0;
        /// A snapshot is not sent again before this time.
        MonotonicTime nextSnapshotAt_;
        /// In its last reply it refused records because its disk is full.
        bool diskFull_ = false;
        /// A request was refused: one message with records at a time until one is accepted.
        bool probing_ = false;
        /// While probing: a message with records is under way.
        bool probeSent_ = false;
    };

    /// Sends greetings to the initial voters; the one with the first name creates the cluster once
    /// all have answered.
    auto bootstrapTick() -> void;
    /// Makes this replica a voter of the new \a cluster and appends the first record, which holds
    /// \a voters.
    auto bootstrap(std::string cluster, const VoterSet &voters) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const Greeting &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const BootstrapReply &body) -> void;

    auto handle(const EntryId &from, const LogMessage &message, const VoteRequest &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const VoteReply &body) -> void;
    auto startElection(bool preVote) -> void;
    /// Asks all voters whether they have just restarted as well; once all have confirmed it,
    /// handleRestartReply() starts an election. No voter leads or follows a leader then, so no
    /// leader lease has to expire first.
    auto sendRestartProbe() -> void;
    [[nodiscard]] auto maySendRestartProbe() const -> bool;
    auto handleRestartReply(const EntryId &from, const LogMessage &message, const VoteReply &body)
        -> void;
    /// A random duration below \a longest.
    auto randomDelay(Duration longest) -> Duration;
    auto becomeLeader() -> void;
    auto becomeFollower(Term term, std::optional<EntryId> leader) -> void;
    auto resetElectionTimer() -> void;
    /// The time until the next pre-vote. It is short: a voter that heard from the leader a little
    /// later than this one leaves the first pre-vote unanswered, and pre-votes disturb no leader.
    auto preVoteInterval() -> Duration;
    /// Has a candidate that lost a vote stand again soon, at a time that is still random.
    auto shortenElectionTimer() -> void;
    [[nodiscard]] auto isVoter() const -> bool;
    /// Whether this replica leads, or heard from a leader or was opened within the last election
    /// timeout.
    [[nodiscard]] auto mustRefuseVotes() const -> bool;
    [[nodiscard]] auto hasVoteQuorum() const -> bool;
    /// Notes a refused vote, but no refused restart probe: any live leader makes those fail.
    auto noteRefusal(const EntryId &candidate, const VoteRequest &body, VoteRefusal reason) -> void;

    auto handle(const EntryId &from, const LogMessage &message, const AppendRequest &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const AppendReply &body) -> void;
    auto handle(const EntryId &from, const LogMessage &message, const InstallRequest &body) -> void;
    /// Follows \a from as the leader of the message's term; false if that term is outdated.
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
    /// The peer of \a voter; null if its last message came under another generation or there is
    /// none.
    [[nodiscard]] auto findVoterPeer(const VoterIdentity &voter) const -> const Peer *;
    /// A quorum of voters, this replica included, answered requests that were sent at this time or
    /// later; nullopt if no quorum has answered yet.
    [[nodiscard]] auto quorumContactTime() const -> std::optional<MonotonicTime>;
    /// Whether too few voters have disk space to commit a record.
    [[nodiscard]] auto diskFullBlocksQuorum() const -> bool;
    /// Whether \a peer answered a request that was sent within the last election timeout.
    [[nodiscard]] auto isInContact(const Peer &peer) const -> bool;
    [[nodiscard]] auto hasCaughtUp(const Peer &peer) const -> bool;
    /// From this number of unanswered heartbeats on a peer is silent.
    [[nodiscard]] auto silenceLimitHeartbeats() const -> unsigned;
    [[nodiscard]] auto isSilent(const Peer &peer) const -> bool;
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
    /// The term as last synced.
    Term syncedTerm_ = 0;
    bool diskHasSpace_ = true;

    ReplicaRole role_ = ReplicaRole::Follower;
    std::optional<EntryId> leader_;
    MonotonicTime lastLeaderContact_;
    MonotonicTime electionDeadline_;
    std::set<EntryId> votesReceived_;
    /// The answers to the present vote or pre-vote.
    std::map<EntryId, VoteAnswer> voteAnswers_;
    std::map<EntryId, VoteAnswer> lastVoteAnswers_;
    /// Whether this process has neither led nor followed a leader since it started.
    bool noLeaderSinceStart_ = true;
    /// Whether this process has started an election; it sends no restart probes then, and after a
    /// split vote only the election timeouts apply.
    bool hasStartedElection_ = false;
    MonotonicTime nextRestartProbeAt_;
    /// The number of the latest restart probe; 0 before the first one.
    std::uint64_t restartProbeRound_ = 0;
    /// Voters that confirmed their restart in the current round, this one included.
    std::set<EntryId> restartedVoters_;
    /// The generation (see VoterIdentity) of each initial voter whose Greeting arrived before the
    /// bootstrap.
    std::map<EntryId, std::uint64_t> bootstrapPeers_;
    /// Those of them that echoed this replica's generation.
    std::set<EntryId> confirmedPeers_;
    MonotonicTime nextGreetingAt_;

    MonotonicTime becameLeaderAt_;
    /// When this replica last stepped down.
    MonotonicTime ledUntil_;
    /// The index of the NoOp record with which this leader started its term.
    LogIndex termStartIndex_ = 0;
    std::map<EntryId, Peer> peers_;
    std::set<EntryId> learners_;

    bool needsSync_ = false;
    std::optional<LogIndex> pendingTruncation_;
    std::vector<LogRecord> pendingRecords_;
    bool pendingInstall_ = false;
    std::vector<SendMessage> sendsBeforeSync_;
    std::vector<SendMessage> sendsAfterSync_;
    std::optional<RefusedVote> refusedVote_;
};

} // namespace lycheereach
