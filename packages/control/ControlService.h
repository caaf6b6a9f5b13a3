/// \file
/// \brief One process's part in the replicated state: log replica, state leases and proposals.
#pragma once

#include "base/RankedMutex.h"
#include "base/Result.h"
#include "control/ControlHooks.h"
#include "control/ControlSettings.h"
#include "control/ControlStatus.h"
#include "control/ZoneExposure.h"
#include "leases/LeaseGrantor.h"
#include "leases/StateLease.h"
#include "state/PoolDemand.h"
#include "state/StateMachine.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

class LogStorage;
class Replica;
struct LeaseGrant;
struct LogRecord;
struct Proposal;
struct ProposalAnswer;
struct Renewal;
struct VoterView;

/// Receives the outcome of a proposal; called without any lock held. When the outcome is unknown,
/// the failure has Verdict::MayHaveRun.
using ProposalCallback = std::function<void(const Result<CommandOutcome> &)>;

/// Holds the replicated state of one process and keeps it up to date.
///
/// A control instance keeps a replica of the log and acts as a relay: it renews its state lease
/// with the leader and grants leases that end no later than its own to the entries that renew with
/// it. An entry without a log renews with a relay, preferably in its own zone, and receives the
/// records that it has not applied with the answer. An index is in force when every holder of a
/// lease has applied it. Thread-safe; guarded by one lock of rank LockRank::Control.
class ControlService
{
public:
    /// \a storage is null on an entry without a log.
    ControlService(ControlSettings settings, std::unique_ptr<LogStorage> storage,
                   ControlHooks hooks);
    ~ControlService();
    ControlService(const ControlService &) = delete;
    auto operator=(const ControlService &) -> ControlService & = delete;

    /// Loads the log, if this process keeps one. Required before every other call.
    auto open() -> Result<Nothing>;
    /// Does all periodic work; to be called several times per log heartbeat interval.
    auto tick() -> void;
    /// Handles a message from a peer; returns false when \a method is not one of this service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;

    /// Proposes a command, through the leader if this process is not the leader; \a done is called
    /// once it is applied or has failed. After \a timeout, or ControlSettings::proposalTimeout_, it
    /// is not sent again and fails.
    auto propose(const Command &command, ProposalCallback done,
                 std::optional<Duration> timeout = std::nullopt) -> void;
    /// Adds or removes one voter. Works only on the leader; on other processes the failure gives
    /// the leader's address if it is known. \a done is called when the change is committed or its
    /// outcome is unknown.
    auto changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                      ProposalCallback done) -> Result<Nothing>;
    /// Sets the demand of this entry's callers on each pool; sent with the next renewals.
    auto setLocalDemand(std::vector<PoolDemand> demand) -> void;
    /// On the leader: the demand on each pool, summed over all entries that renew their leases.
    [[nodiscard]] auto demand() const -> std::map<PoolName, double>;
    /// Begins a planned stop: registers this entry as leaving.
    auto registerAsLeaving() -> void;

    /// Calls \a reader with the state while the lock is held: \a reader must be short and take no
    /// lock of a lower rank.
    template <typename Reader>
    auto readState(Reader reader) const
    {
        const auto lock = std::scoped_lock(mutex_);
        return reader(machine_.state());
    }
    /// Whether this entry holds a valid lease and has applied every record that the lease requires.
    [[nodiscard]] auto mayTakeWork() const -> bool;
    /// Whether this process is the leader of the log and holds its leader lease, so that no other
    /// process can lead.
    [[nodiscard]] auto isLeader() const -> bool;
    /// The last index that every lease holder has applied, as far as this entry knows.
    [[nodiscard]] auto inForceIndex() const -> LogIndex;
    /// On the leader: holders of leases granted by this process that have not applied \a index, so
    /// that it is not in force. Empty on other processes.
    [[nodiscard]] auto holdersBehind(LogIndex index) const -> std::vector<EntryId>;
    /// Entries that the replicated state has as live.
    [[nodiscard]] auto liveEntries() const -> std::set<EntryId>;
    [[nodiscard]] auto status() const -> ControlStatus;
    /// The incarnation under which this entry registers.
    [[nodiscard]] auto incarnation() const -> Incarnation;

private:
    /// A proposal appended to this process's log that is not applied yet.
    struct AppendedProposal
    {
        /// The term in which it was appended.
        Term term_ = 0;
        /// The encoded command; nothing for a change of voters, which is not retried.
        std::optional<std::string> command_;
        ProposalCallback done_;
        MonotonicTime deadline_;
        MonotonicTime appendedAt_;
        /// When this process had flushed it to its own disk and to the other voters.
        std::optional<MonotonicTime> flushedAt_;
    };
    /// A proposal that is sent to the leader until it is answered or its deadline passes.
    struct ForwardedProposal
    {
        /// The encoded command.
        std::string command_;
        ProposalCallback done_;
        MonotonicTime deadline_;
        MonotonicTime resendAt_;
        /// Whether some process may have appended it, so that its outcome is unknown.
        bool mayBeAppended_ = false;
    };

    /// What a holder of a lease granted by this relay was sent and has applied.
    struct HolderProgress
    {
        Incarnation incarnation_ = 0;
        /// The last record sent to this incarnation.
        LogIndex sentIndex_ = 0;
        /// The last record that the holder had applied at its last renewal.
        LogIndex applied_ = 0;
        /// When applied_ last changed or a resend began.
        MonotonicTime appliedSince_;
    };

    /// The demand on each pool reported by the last renewal of an entry.
    struct ReportedDemand
    {
        std::vector<PoolDemand> demand_;
        MonotonicTime receivedAt_;
    };

    // Replicated state and log.
    auto applyRecord(const LogRecord &record) -> void;
    auto applyCommand(LogIndex index, const std::string &text) -> std::optional<CommandOutcome>;
    auto applyMeasured(LogIndex index, const std::string &text) -> std::optional<CommandOutcome>;
    auto restoreSnapshot(const std::string &snapshot) -> void;
    /// Posts one task for all changes until it runs; it updates the peer addresses, pushes the
    /// records and calls ControlHooks::onStateChanged_.
    auto postStateChanged() -> void;
    auto updatePeerAddresses() -> void;
    auto updatePeerAddress(const EntryRecord &entry) -> void;
    /// Emits an event of the state machine, which every replica produces, only on the leader.
    auto emitWhenLeader(const Event &event) -> void;
    [[nodiscard]] auto isLeaderNow(MonotonicTime now) const -> bool;

    [[nodiscard]] auto notLeaderFailure() const -> Failure;

    // Proposals.
    /// Appends a command to the log if this process leads; returns false otherwise. \a priorVerdict
    /// tells whether an earlier attempt may have committed the command.
    auto appendIfLeader(const std::string &command, ProposalCallback done, MonotonicTime deadline,
                        Verdict priorVerdict = Verdict::NotRun) -> bool;
    /// Queues a proposal whose record may have been replaced to be proposed again; a change of
    /// voters fails with an unknown outcome instead.
    auto retryProposal(AppendedProposal appended) -> void;
    auto forwardToLeader(ForwardedProposal &forwarded, std::uint64_t number, MonotonicTime now)
        -> void;
    /// Lets \a done share the outcome and the deadline of the same declaration if that is appended
    /// and not applied yet; returns whether it is.
    auto joinPending(const std::string &command, const ProposalCallback &done) -> bool;
    auto emitWhenSlow(LogIndex index, const AppendedProposal &proposal) -> void;
    /// Posts one flush of the log for all proposals appended until it runs.
    auto scheduleFlush() -> void;
    auto resendProposals(MonotonicTime now) -> void;
    auto failTimedOutProposals(MonotonicTime now) -> void;
    auto onProposal(const EntryId &from, const Proposal &proposal) -> void;
    auto onProposalAnswer(const ProposalAnswer &message) -> void;
    /// Calls \a done with \a result through ControlHooks::post_.
    auto postOutcome(ProposalCallback done, Result<CommandOutcome> result) -> void;
    /// Retries the proposal of an earlier term at \a index, whose record was replaced.
    auto retryReplacedAt(LogIndex index) -> void;
    /// Retries the proposals at or below \a upTo that were not applied: their records were
    /// replaced.
    auto retryReplacedUpTo(LogIndex upTo) -> void;

    // Leases.
    auto renewWhenDue(MonotonicTime now) -> void;
    auto renewAsLeader(MonotonicTime now) -> void;
    /// Whether this process, and every entry with a lease from it, has applied the last withdrawal
    /// of an upstream but no renewal has confirmed that yet.
    [[nodiscard]] auto hasUnsentConfirmation(MonotonicTime now) const -> bool;
    auto sendRenewal(const EntryId &to, MonotonicTime now) -> void;
    /// The process to send the next renewal to; nothing when none is known.
    [[nodiscard]] auto selectGrantor() -> std::optional<EntryId>;
    /// The processes to renew with, in order of preference: relays in the own zone, other relays,
    /// the leader, which has other work, then initial voters and, for a control instance, a leader
    /// that are lost or not registered.
    [[nodiscard]] auto rankedGrantors() const -> std::vector<EntryId>;
    auto onRenewal(const EntryId &from, const Renewal &renewal) -> void;
    /// The registered address of \a id for other entries; empty when it is not registered.
    [[nodiscard]] auto peerAddressOf(const EntryId &id) const -> std::string;
    auto grantAsLeader(const Renewal &renewal, MonotonicTime now) -> LeaseGrant;
    auto grantAsRelay(const Renewal &renewal, MonotonicTime now) -> LeaseGrant;
    /// Adds the committed records behind index \a after, or a snapshot when they are compacted.
    auto addRecords(LeaseGrant &grant, LogIndex after) const -> void;
    /// Sends the entries with a lease from this relay the records that they were not sent yet, at
    /// a limited rate.
    auto pushRecords(MonotonicTime now) -> void;
    /// Advances HolderProgress::sentIndex_ to the last record or snapshot in \a grant.
    auto updateSentIndex(const EntryId &holder, const LeaseGrant &grant) -> void;
    auto onGrant(const EntryId &from, const LeaseGrant &grant) -> void;
    auto applyGrantedRecords(const LeaseGrant &grant) -> void;
    /// Takes over the leases of the previous leader when this process becomes the leader.
    auto updateLeadership(MonotonicTime now) -> void;
    auto updateInForce(MonotonicTime now) -> void;
    /// Sends the relays the in-force index at once, without waiting for their renewals, when the
    /// withdrawal of an upstream comes into force.
    auto pushInForceIndex(MonotonicTime now) -> void;
    /// On the leader: proposes to mark entries without recent renewals as lost.
    auto markSilentEntriesLost(MonotonicTime now) -> void;
    /// Proposes this entry's record when the replicated state has another one or none.
    auto registerWhenNeeded(MonotonicTime now) -> void;
    [[nodiscard]] auto voterView() const -> VoterView;
    /// On the leader: makes the next change towards the wanted number of voters that answer, spread
    /// over the zones, and reports zones whose loss the voters would not bear.
    auto maintainVoters(MonotonicTime now) -> void;
    auto reconcileVoters(const VoterView &view, MonotonicTime now) -> void;
    auto reportZoneExposure(const VoterView &view, MonotonicTime now) -> void;
    /// The registered zone of \a id; empty when it is not registered.
    [[nodiscard]] auto zoneOf(const EntryId &id) const -> ZoneName;
    /// The voters as `zone=voter,voter zone=voter`; the zone of one that is not registered is `?`.
    [[nodiscard]] auto votersByZone() const -> std::string;
    /// Emits an event when mayTakeWork() changes.
    auto emitLeaseChange(MonotonicTime now) -> void;
    /// Entries that renewed recently, with this process or, on the leader, with another relay.
    [[nodiscard]] auto recentlyRenewedEntries(MonotonicTime now) const -> std::vector<EntryId>;
    /// The last record that this process and every entry with a lease from it have applied.
    [[nodiscard]] auto localConfirmedIndex(MonotonicTime now) const -> LogIndex;
    /// The demand of this entry plus what recent renewals reported.
    [[nodiscard]] auto totalDemand(MonotonicTime now) const -> std::map<PoolName, double>;

    ControlSettings settings_;
    ControlHooks hooks_;
    mutable RankedMutex mutex_;
    StateMachine machine_;
    std::unique_ptr<Replica> replica_;

    /// By the index of the record.
    std::map<LogIndex, AppendedProposal> appendedProposals_;
    /// By the number of the proposal.
    std::map<std::uint64_t, ForwardedProposal> forwardedProposals_;
    /// Starts at a random number in each run, so that an answer to a proposal of an earlier run
    /// matches none of this run.
    std::uint64_t lastProposalNumber_;
    bool flushScheduled_ = false;
    MonotonicTime slowCommitReportedAt_;
    bool stateChangePosted_ = false;

    /// The state lease of this process.
    StateLease lease_;
    /// Leases granted as a relay to entries without a log.
    LeaseGrantor entryLeases_;
    std::map<EntryId, HolderProgress> holderProgress_;
    /// Leases granted as the leader to relays.
    LeaseGrantor relayLeases_;
    /// The last known leader; empty when none was heard of.
    EntryId leader_;
    /// The sender of the last grant of sufficient length; empty after it answered with a shorter
    /// one.
    EntryId grantor_;
    /// Round-robin position in rankedGrantors().
    std::size_t nextGrantor_ = 0;
    MonotonicTime pushedAt_;
    MonotonicTime lastRenewalAt_;
    /// Renewal::confirmed_ of the last renewal sent.
    LogIndex reportedConfirmedIndex_ = 0;
    /// On the leader: the last withdrawal whose coming into force was pushed to the relays.
    LogIndex pushedWithdrawnIndex_ = 0;
    MonotonicTime lastGrantAt_;
    MonotonicTime registrationCheckedAt_;
    /// Whether this control instance has held a lease in this run, so that it may grant leases.
    bool isRelay_ = false;
    /// Whether this process was the leader at the last tick.
    bool leading_ = false;
    /// On the leader, if a zone may be lost: what it last reported about that.
    ZoneExposure zoneExposure_;
    /// mayTakeWork() as of the last event about it.
    bool mayWork_ = false;
    LogIndex inForceIndex_ = 0;
    /// On the leader: the configuration version last reported as in force.
    Version versionInForce_ = 0;
    /// When an entry last renewed with this process or, on the leader, was last named by a relay.
    std::map<EntryId, MonotonicTime> lastHeardAt_;
    std::vector<PoolDemand> localDemand_;
    /// The demand reported by entries that renew with this process; on the leader also by relays.
    std::map<EntryId, ReportedDemand> reportedDemand_;
};

} // namespace lycheereach
