#include "control/ControlService.h"

#include "log/LogRecord.h"
#include "log/LogStorage.h"
#include "log/Replica.h"

#include <utility>

namespace lycheereach {

namespace {

auto replicaSettings(const ControlSettings &settings) -> ReplicaSettings
{
    return ReplicaSettings{.self_ = settings.ownRecord_.id_,
                           .initialVoters_ = settings.initialVoters_,
                           .heartbeatInterval_ = settings.logHeartbeatInterval_,
                           .electionTimeout_ = settings.logElectionTimeout_,
                           .snapshotAfterRecords_ = settings.snapshotAfterRecords_};
}

/// A random start for a sequence of numbers, so that numbers of other runs of the process don't
/// recur. The highest bit is clear, so that the sequence doesn't overflow.
auto randomFirstNumber(const RandomSource &random) -> std::uint64_t
{
    return random() >> 1U;
}

} // namespace

ControlService::ControlService(ControlSettings settings, std::unique_ptr<LogStorage> storage,
                               ControlHooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Control)
    , machine_([this](const Event &event) { emitWhenLeader(event); })
    , lastProposalNumber_(randomFirstNumber(hooks_.random_))
    , lease_(randomFirstNumber(hooks_.random_))
    , entryLeases_(settings_.stateLeaseDuration_)
    , relayLeases_(settings_.stateLeaseDuration_)
{
    if (storage == nullptr)
        return;
    auto replicaHooks = ReplicaHooks{
        .send_ = [this](const EntryId &to,
                        const Json &message) { hooks_.send_(to, "control.log", message); },
        .apply_ = [this](const LogRecord &record) { applyRecord(record); },
        .takeSnapshot_ = [this] { return machine_.snapshot(); },
        .restore_ =
            [this](LogIndex index, const std::string &snapshot) {
                restoreSnapshot(snapshot);
                retryReplacedUpTo(index);
            },
        .random_ = hooks_.random_,
        .event_ = hooks_.event_,
        .measure_ = hooks_.measure_};
    replica_ = std::make_unique<Replica>(replicaSettings(settings_), std::move(storage),
                                         std::move(replicaHooks));
}

ControlService::~ControlService() = default;

auto ControlService::open() -> Result<Nothing>
{
    const auto lock = std::scoped_lock(mutex_);
    if (replica_ == nullptr)
        return Nothing{};
    // An earlier run may have granted leases to entries that the log no longer lists.
    entryLeases_.takeOverUnknownHolders(hooks_.now_());
    return replica_->open(hooks_.now_());
}

auto ControlService::tick() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto now = hooks_.now_();
    if (replica_ != nullptr)
        replica_->tick(now);
    updateLeadership(now);
    renewWhenDue(now);
    updateInForce(now);
    markSilentEntriesLost(now);
    registerWhenNeeded(now);
    maintainVoters(now);
    pushRecords(now);
    // In this order, since a process that was paused must not send what has timed out meanwhile.
    failTimedOutProposals(now);
    resendProposals(now);
    emitLeaseChange(now);
}

auto ControlService::applyRecord(const LogRecord &record) -> void
{
    auto outcome = std::optional<CommandOutcome>{};
    if (record.kind_ == RecordKind::StateCommand)
        outcome = applyMeasured(record.index_, record.payload_);
    else if (record.kind_ == RecordKind::Voters)
        outcome = CommandOutcome{.accepted_ = true};
    machine_.advance(record.index_);
    retryReplacedUpTo(record.index_ - 1);
    const auto found = appendedProposals_.find(record.index_);
    if (found == appendedProposals_.end())
        return;
    auto proposal = std::move(found->second);
    appendedProposals_.erase(found);
    emitWhenSlow(record.index_, proposal);
    if (proposal.term_ == record.term_ && outcome)
        postOutcome(std::move(proposal.done_), *outcome);
    else
        retryProposal(std::move(proposal));
}

auto ControlService::applyMeasured(LogIndex index, const std::string &text)
    -> std::optional<CommandOutcome>
{
    if (!hooks_.measure_)
        return applyCommand(index, text);
    auto outcome = std::optional<CommandOutcome>{};
    hooks_.measure_("apply", [&] { outcome = applyCommand(index, text); });
    return outcome;
}

auto ControlService::applyCommand(LogIndex index, const std::string &text)
    -> std::optional<CommandOutcome>
{
    const auto command = decodeCommand(text);
    if (!command)
        return CommandOutcome{.accepted_ = false, .message_ = command.failure().message_};
    auto outcome = machine_.apply(index, *command);
    postStateChanged();
    return outcome;
}

auto ControlService::restoreSnapshot(const std::string &snapshot) -> void
{
    if (snapshot.empty())
        return;
    if (machine_.restore(snapshot))
        postStateChanged();
}

auto ControlService::postStateChanged() -> void
{
    if (stateChangePosted_)
        return;
    stateChangePosted_ = true;
    hooks_.post_([this] {
        {
            const auto lock = std::scoped_lock(mutex_);
            stateChangePosted_ = false;
            updatePeerAddresses();
            pushRecords(hooks_.now_());
        }
        hooks_.onStateChanged_();
    });
}

auto ControlService::updatePeerAddresses() -> void
{
    for (const auto &[id, entry] : machine_.state().entries_)
        updatePeerAddress(entry);
}

auto ControlService::updatePeerAddress(const EntryRecord &entry) -> void
{
    const auto isNeeded = settings_.connectsToEntriesWithoutLog_ || entry.control_;
    if (entry.id_ != settings_.ownRecord_.id_ && isNeeded)
        hooks_.setPeerAddress_(entry.id_, entry.peerAddress_);
}

auto ControlService::emitWhenLeader(const Event &event) -> void
{
    const auto isLeader = replica_ != nullptr && replica_->role() == ReplicaRole::Leader;
    if (isLeader)
        hooks_.event_(event);
}

auto ControlService::isLeaderNow(MonotonicTime now) const -> bool
{
    return replica_ != nullptr && replica_->role() == ReplicaRole::Leader
        && replica_->holdsLeaderLease(now);
}

auto ControlService::changeVoters(const std::optional<EntryId> &add,
                                  const std::optional<EntryId> &remove, ProposalCallback done)
    -> Result<Nothing>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto now = hooks_.now_();
    if (!isLeaderNow(now))
        return notLeaderFailure();
    const auto position = replica_->changeVoters(add, remove, now);
    if (!position)
        return position.failure();
    const auto deadline = now + settings_.proposalTimeout_;
    retryReplacedAt(position->index_);
    appendedProposals_[position->index_]
        = AppendedProposal{position->term_, std::nullopt, std::move(done), deadline, now, {}};
    scheduleFlush();
    return Nothing{};
}

auto ControlService::notLeaderFailure() const -> Failure
{
    const auto &entries = machine_.state().entries_;
    const auto found = entries.find(leader_);
    const auto isKnown = found != entries.end() && leader_ != settings_.ownRecord_.id_;
    const auto hint = isKnown ? "ask " + leader_.text() + " at " + found->second.address_
                              : std::string("no leader is known, try again");
    return Failure{Error::NotLeader,
                   settings_.ownRecord_.id_.text() + " does not lead the control log; " + hint};
}

auto ControlService::isLeader() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return isLeaderNow(hooks_.now_());
}

auto ControlService::incarnation() const -> Incarnation
{
    const auto lock = std::scoped_lock(mutex_);
    return settings_.ownRecord_.incarnation_;
}

auto ControlService::status() const -> ControlStatus
{
    const auto lock = std::scoped_lock(mutex_);
    const auto now = hooks_.now_();
    auto status = ControlStatus{.entry_ = settings_.ownRecord_.id_,
                                .role_ = "entry",
                                .leader_ = leader_,
                                .applied_ = machine_.state().applied_,
                                .inForceIndex_ = inForceIndex_,
                                .mayTakeWork_ = lease_.allowsWork(machine_.state().applied_, now)};
    if (replica_ == nullptr)
        return status;
    status.role_ = roleName(replica_->role());
    status.term_ = replica_->term();
    status.diskFailed_ = replica_->diskFailed();
    for (const auto &voter : replica_->voters().voters_)
        status.voters_.push_back(voter.name_);
    return status;
}

} // namespace lycheereach
