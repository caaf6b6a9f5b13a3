/// \file
/// \brief The replicated state as one process sees it: log, leases, relays and proposals.
#pragma once

#include "base/RankedMutex.h"
#include "base/Result.h"
#include "control/ControlHooks.h"
#include "control/ControlSettings.h"
#include "control/ControlStatus.h"
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

/// Told of the outcome of a proposal, outside of every lock; the failure of one whose outcome is
/// not known says Verdict::MayHaveRun.
using ProposalCallback = std::function<void(const Result<CommandOutcome> &)>;

/// The replicated state as one process sees it.
///
/// A control instance keeps the log and is a relay: it renews its state lease with the leader and
/// grants shorter ones to the entries that renew with it. Another entry renews with a relay, best
/// in its own zone, and gets the records that it has not applied with the answer. An index is in
/// force when every holder of a lease has applied it. Thread-safe; guarded by one lock of rank
/// LockRank::Control.
class ControlService
{
public:
    /// \a storage is null on an entry that keeps no log.
    ControlService(ControlSettings settings, std::unique_ptr<LogStorage> storage,
                   ControlHooks hooks);
    ~ControlService();
    ControlService(const ControlService &) = delete;
    auto operator=(const ControlService &) -> ControlService & = delete;

    /// Loads the log.
    auto open() -> Result<Nothing>;
    /// To be called several times in a log heartbeat.
    auto tick() -> void;
    /// Takes a message of a peer; true when it was one for this service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;

    /// Has a command committed and applied.
    auto propose(const Command &command, ProposalCallback done) -> void;
    /// Adds or removes one voter; elsewhere than on the leader the failure names its address. \a
    /// done hears when the change is committed, or that its outcome is not known.
    auto changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                      ProposalCallback done) -> Result<Nothing>;
    /// What callers ask of the pools here, for the leader; goes with the next renewals.
    auto setDemand(std::vector<PoolDemand> demand) -> void;
    /// On the leader: what callers ask of each pool at all entries that renew their leases.
    [[nodiscard]] auto demand() const -> std::map<PoolName, double>;
    /// Begins a planned stop: the entry registers as leaving.
    auto leave() -> void;

    /// Calls \a reader with the state, under the lock: it must be short and take no lower lock.
    template <typename Reader>
    auto read(Reader reader) const
    {
        const auto lock = std::scoped_lock(mutex_);
        return reader(machine_.state());
    }
    /// Whether this entry holds a live lease under a state that is new enough.
    [[nodiscard]] auto mayTakeWork() const -> bool;
    /// Whether this process leads and no other can.
    [[nodiscard]] auto leads() const -> bool;
    /// The last index that is in force everywhere, as far as this entry knows.
    [[nodiscard]] auto inForceIndex() const -> LogIndex;
    /// On the leader: relays whose leases keep \a index from being in force.
    [[nodiscard]] auto waitingFor(LogIndex index) const -> std::vector<EntryId>;
    /// Entries that renew their leases; on other processes than the leader those that the state
    /// has as live.
    [[nodiscard]] auto liveEntries() const -> std::set<EntryId>;
    [[nodiscard]] auto status() const -> ControlStatus;
    /// The incarnation that this entry is registered under.
    [[nodiscard]] auto incarnation() const -> Incarnation;

private:
    struct Waiting
    {
        Term term_ = 0;
        /// The encoded command; nothing for a change of voters, which is not proposed again.
        std::optional<std::string> command_;
        ProposalCallback done_;
        MonotonicTime giveUpAt_;
    };
    /// A proposal at the leader, or on its way there.
    struct Remote
    {
        /// Encoded.
        std::string command_;
        ProposalCallback done_;
        MonotonicTime giveUpAt_;
        MonotonicTime sendAgainAt_;
        /// Whether it may have been appended somewhere.
        bool sent_ = false;
    };

    struct Sent
    {
        Incarnation incarnation_ = 0;
        /// The last record sent to this incarnation.
        LogIndex index_ = 0;
        /// What the holder had applied at its last renewal, and since when.
        LogIndex applied_ = 0;
        MonotonicTime appliedAt_;
    };

    struct HeardDemand
    {
        std::vector<PoolDemand> demand_;
        MonotonicTime at_;
    };

    // The state and the log.
    auto applyRecord(const LogRecord &record) -> void;
    auto applyCommand(LogIndex index, const std::string &text) -> std::optional<CommandOutcome>;
    auto restoreSnapshot(const std::string &snapshot) -> void;
    auto noteStateChanged() -> void;
    auto notePeers() -> void;
    auto notePeer(const EntryRecord &entry) -> void;
    auto emitWhenLeader(const Event &event) -> void;
    [[nodiscard]] auto isLeaderNow(MonotonicTime now) const -> bool;

    [[nodiscard]] auto notLeader() const -> Failure;

    // Proposals.
    /// \a before is whether the command may have been committed by an earlier try.
    auto appendHere(const std::string &command, ProposalCallback done, MonotonicTime giveUpAt,
                    Verdict before = Verdict::NotRun) -> bool;
    auto proposeLater(Waiting waiting) -> void;
    auto forward(Remote &remote, std::uint64_t number, MonotonicTime now) -> void;
    auto scheduleFlush() -> void;
    auto resendProposals(MonotonicTime now) -> void;
    auto giveUpProposals(MonotonicTime now) -> void;
    auto onProposal(const EntryId &from, const Proposal &proposal) -> void;
    auto onProposalAnswer(const ProposalAnswer &answer) -> void;
    auto answer(ProposalCallback done, Result<CommandOutcome> result) -> void;
    /// Another record has the place of the one at \a index, which an earlier term appended.
    auto overtake(LogIndex index) -> void;
    /// Proposals at or below \a upTo that were not seen applied: another record has their place.
    auto failOvertaken(LogIndex upTo) -> void;

    // Leases.
    auto renewWhenDue(MonotonicTime now) -> void;
    auto renewAsLeader(MonotonicTime now) -> void;
    /// Whether the last renewal did not confirm a withdrawal that is in force here.
    [[nodiscard]] auto owesConfirmation(MonotonicTime now) const -> bool;
    auto sendRenewal(const EntryId &to, MonotonicTime now) -> void;
    [[nodiscard]] auto grantorToAsk() -> std::optional<EntryId>;
    /// Whom this process may renew with, best first: relays of its zone, others, and the leader
    /// last, which has other work.
    [[nodiscard]] auto relays() const -> std::vector<EntryId>;
    auto onRenewal(const EntryId &from, const Renewal &renewal) -> void;
    auto grantAsLeader(const Renewal &renewal, MonotonicTime now) -> LeaseGrant;
    auto grantAsRelay(const Renewal &renewal, MonotonicTime now) -> LeaseGrant;
    auto addRecords(LeaseGrant &grant, LogIndex applied) const -> void;
    /// Sends the holders of leases granted here what was applied since their last answer, no more
    /// often than in a set pace.
    auto pushRecords(MonotonicTime now) -> void;
    auto noteSent(const EntryId &holder, const LeaseGrant &grant) -> void;
    auto onGrant(const EntryId &from, const LeaseGrant &grant) -> void;
    auto takeRecords(const LeaseGrant &grant) -> void;
    auto noteLeadership(MonotonicTime now) -> void;
    auto updateInForce(MonotonicTime now) -> void;
    /// Tells the relays of a withdrawal that has come into force, without their asking.
    auto tellInForce(MonotonicTime now) -> void;
    auto loseSilentEntries(MonotonicTime now) -> void;
    auto registerWhenNeeded(MonotonicTime now) -> void;
    auto keepVoters(MonotonicTime now) -> void;
    auto noteLeaseChange(MonotonicTime now) -> void;
    /// Entries that renewed with this process lately.
    [[nodiscard]] auto heardLately(MonotonicTime now) const -> std::vector<EntryId>;
    [[nodiscard]] auto confirmedHere(MonotonicTime now) const -> LogIndex;
    /// The sum of what was heard lately, here and from others.
    [[nodiscard]] auto demandHere(MonotonicTime now) const -> std::map<PoolName, double>;

    ControlSettings settings_;
    ControlHooks hooks_;
    mutable RankedMutex mutex_;
    StateMachine machine_;
    std::unique_ptr<Replica> replica_;

    std::map<LogIndex, Waiting> waiting_;
    std::map<std::uint64_t, Remote> remote_;
    /// Of proposals; begins elsewhere in each run, so that no answer to an earlier run fits.
    std::uint64_t lastNumber_;
    bool flushScheduled_ = false;
    bool changeNoted_ = false;

    StateLease lease_;
    /// Leases granted as a relay, to entries.
    LeaseGrantor relayed_;
    /// What each holder of a lease granted as a relay was sent.
    std::map<EntryId, Sent> sentTo_;
    /// Leases granted as the leader, to relays.
    LeaseGrantor granted_;
    EntryId leader_;
    /// The grantor that answered last.
    EntryId grantor_;
    std::size_t asked_ = 0;
    MonotonicTime pushedAt_;
    MonotonicTime renewedAt_;
    /// What the last renewal confirmed.
    LogIndex toldConfirmed_ = 0;
    /// On the leader: what the relays were told to be in force without their asking.
    LogIndex toldInForce_ = 0;
    MonotonicTime answeredAt_;
    MonotonicTime registeredAt_;
    bool relaying_ = false;
    bool leading_ = false;
    bool mayWork_ = false;
    MonotonicTime leadingSince_;
    MonotonicTime votersCheckedAt_;
    LogIndex inForceIndex_ = 0;
    Version versionInForce_ = 0;
    /// On the leader: when a relay last named the entry as a holder.
    std::map<EntryId, MonotonicTime> heardOf_;
    std::vector<PoolDemand> ownDemand_;
    /// What entries that renew here said of their demand, and on the leader what relays did.
    std::map<EntryId, HeardDemand> heardDemand_;
};

} // namespace lycheereach
