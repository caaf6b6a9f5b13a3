#include "log/Replica.h"

#include "log/LogCore.h"

#include <algorithm>
#include <limits>

namespace lycheereach {

namespace {

/// The time between a failed write and the first attempt to write everything to new files; doubled
/// after each attempt up to the maximum, since each one encodes the whole state.
constexpr auto recoveryInterval = std::chrono::seconds(1);
constexpr auto maxRecoveryInterval = std::chrono::seconds(4);
/// The time between attempts to take a snapshot while the disk has no space for it.
constexpr auto snapshotRetryInterval = std::chrono::seconds(1);
/// A leader whose disk is full for longer lets another voter lead, since the records that its disk
/// lacks are held in memory.
constexpr auto fullDiskLeaderTime = std::chrono::seconds(10);
constexpr auto noLimit = std::numeric_limits<std::size_t>::max();
/// Disk space required beside the payload of a record, for its encoding.
constexpr auto recordOverheadBytes = std::size_t(1024);

/// A replica reports a vote that it refused at most this often.
constexpr auto refusalReportInterval = std::chrono::seconds(1);
/// A replica without a leader for this many election timeouts reports it. An election takes up to
/// two.
constexpr auto missingLeaderElectionTimeouts = 3;
constexpr auto missingLeaderReportInterval = std::chrono::seconds(5);

auto refusalText(VoteRefusal reason) -> std::string
{
    switch (reason) {
    case VoteRefusal::NoCluster:
        return "it belongs to no cluster yet";
    case VoteRefusal::LeaderHeard:
        return "it heard from a leader or started within an election timeout";
    case VoteRefusal::OlderLog:
        return "the candidate's log lacks records";
    case VoteRefusal::OlderTerm:
        return "the candidate's term is not newer";
    case VoteRefusal::VotedForAnother:
        return "it voted for another candidate";
    }
    return "";
}

auto answerText(VoteAnswer answer) -> std::string
{
    switch (answer) {
    case VoteAnswer::Granted:
        return "granted";
    case VoteAnswer::Refused:
        return "refused";
    case VoteAnswer::NotCounted:
        return "lost-its-disk";
    }
    return "";
}

auto checkIdentity(const std::optional<VoterIdentity> &identity, const EntryId &self)
    -> Result<Nothing>
{
    if (!identity || identity->name_ == self)
        return Nothing{};
    return Failure{Error::InvalidArgument,
                   "the data folder belongs to " + identity->name_.text() + ", not to "
                       + self.text() + "; use its own folder or an empty one"};
}

} // namespace

Replica::Replica(ReplicaSettings settings, std::unique_ptr<LogStorage> storage, ReplicaHooks hooks)
    : settings_(std::move(settings))
    , storage_(std::move(storage))
    , hooks_(std::move(hooks))
{ }

Replica::~Replica() = default;

auto Replica::open(MonotonicTime now) -> Result<Nothing>
{
    auto stored = storage_->load();
    if (!stored)
        return stored.failure();
    if (auto checked = checkIdentity(stored->identity_, settings_.self_); !checked)
        return checked;
    if (!stored->identity_) {
        const auto identity = VoterIdentity{settings_.self_, hooks_.random_()};
        if (auto written = storage_->writeIdentity(identity); !written)
            return written;
        stored.value().identity_ = identity;
    }
    now_ = now;
    core_ = std::make_unique<LogCore>(settings_, *stored, hooks_.random_, now);
    reportedVoters_ = voters();
    const auto &snapshot = stored->snapshot_;
    if (snapshot.position_.index_ > 0)
        hooks_.restore_(snapshot.position_.index_, snapshot.bytes_);
    performActions();
    return Nothing{};
}

auto Replica::tick(MonotonicTime now) -> void
{
    now_ = now;
    if (diskFailed_ && !tryRecoverDisk())
        return;
    hasSpace_ = storage_->hasFreeSpace(recordOverheadBytes);
    updateDiskSpace(recordOverheadBytes);
    stepDownWhenFull();
    core_->tick(now);
    performActions();
}

auto Replica::updateDiskSpace(std::size_t bytes) -> void
{
    core_->setDiskHasSpace(!syncBlocked_ && storage_->hasFreeSpace(bytes));
}

auto Replica::stepDownWhenFull() -> void
{
    const auto isLong = fullSince_ && now_ - *fullSince_ >= fullDiskLeaderTime;
    if (isLong && core_->role() == ReplicaRole::Leader && core_->othersCanCommit())
        core_->stepDown(now_);
}

auto Replica::receive(const EntryId &from, const Json &message, MonotonicTime now) -> void
{
    if (diskFailed_)
        return;
    const auto decoded = decodeMessage(message);
    if (!decoded)
        return;
    now_ = now;
    updateDiskSpace(settings_.appendLimitBytes_ + recordOverheadBytes);
    core_->receive(from, *decoded, now);
    performActions();
}

auto Replica::propose(std::string payload, MonotonicTime now) -> Result<LogPosition>
{
    if (diskFailed_) {
        return Failure{Error::DiskFailed,
                       "the disk of " + settings_.self_.text()
                           + " failed and takes no new files yet; replace it if that lasts"};
    }
    now_ = now;
    updateDiskSpace(payload.size() + recordOverheadBytes);
    return core_->propose(std::move(payload), now);
}

auto Replica::flush(MonotonicTime now) -> void
{
    tick(now);
}

auto Replica::changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                           MonotonicTime now) -> Result<LogPosition>
{
    if (diskFailed_)
        return propose("", now);
    return core_->changeVoters(add, remove, now);
}

auto Replica::addLearner(const EntryId &name) -> void
{
    core_->addLearner(name);
}

auto Replica::removeLearner(const EntryId &name) -> void
{
    core_->removeLearner(name);
}

auto Replica::role() const -> ReplicaRole
{
    return diskFailed_ ? ReplicaRole::Learner : core_->role();
}

auto Replica::leader() const -> std::optional<EntryId>
{
    return diskFailed_ ? std::nullopt : core_->leader();
}

auto Replica::term() const -> Term
{
    return core_->state().term_;
}

auto Replica::commitIndex() const -> LogIndex
{
    return core_->state().commitIndex_;
}

auto Replica::lastIndex() const -> LogIndex
{
    return core_->log().last().index_;
}

auto Replica::voters() const -> VoterSet
{
    return core_->log().voters();
}

auto Replica::wipedVoters() const -> std::set<EntryId>
{
    return core_->wipedVoters();
}

auto Replica::silentVoters() const -> std::set<EntryId>
{
    return core_->silentVoters();
}

auto Replica::readyLearners() const -> std::set<EntryId>
{
    return core_->readyLearners();
}

auto Replica::identity() const -> VoterIdentity
{
    return core_->identity();
}

auto Replica::holdsLeaderLease(MonotonicTime now) const -> bool
{
    return !diskFailed_ && core_->holdsLeaderLease(now);
}

auto Replica::recordsFrom(LogIndex from, std::size_t limitBytes) const -> CommittedRecords
{
    const auto &log = core_->log();
    if (from <= log.base().index_)
        return {true, {}};
    return {false, log.range(from, core_->appliedIndex(), limitBytes)};
}

auto Replica::latestSnapshot() const -> LogSnapshot
{
    return core_->log().snapshot();
}

auto Replica::performActions() -> void
{
    for (auto actions = core_->takeActions(); !actions.empty(); actions = core_->takeActions()) {
        syncBlocked_ = false;
        // After a failed write committed records are still applied: they are taken only once.
        for (const auto &action : actions)
            std::visit([this](const auto &concrete) { perform(concrete); }, action);
        if (syncBlocked_ || diskFailed_)
            break;
    }
    takeSnapshotWhenDue();
    emitChanges();
}

auto Replica::perform(const StageWrites &action) -> void
{
    storage_->stageState(action.state_);
    if (action.truncateAfter_)
        storage_->stageTruncation(*action.truncateAfter_);
    if (!action.records_.empty())
        storage_->stageRecords(action.records_);
}

auto Replica::perform(const SyncWrites &action) -> void
{
    if (diskFailed_)
        return;
    auto written = Result<Nothing>(Nothing{});
    measure("sync", [&] { written = storage_->sync(); });
    if (written)
        core_->onSynced(action.lastIndex_);
    else if (written.failure().code_ == Error::DiskFull)
        syncBlocked_ = true;
    else
        markDiskFailed(written.failure());
}

auto Replica::perform(const InstallSnapshot & /*action*/) -> void
{
    const auto &log = core_->log();
    const auto &snapshot = log.snapshot();
    const auto index = snapshot.position_.index_;
    const auto written = storage_->writeSnapshot(snapshot, core_->state(),
                                                 log.range(index + 1, log.last().index_, noLimit));
    // The snapshot is committed, so it is restored even if this replica can't acknowledge it.
    hooks_.restore_(index, snapshot.bytes_);
    if (written)
        emit(EventNumber::SnapshotInstalled, {{"version", std::to_string(index)}});
    else
        markDiskFailed(written.failure());
}

auto Replica::perform(const SendMessage &action) -> void
{
    if (!syncBlocked_ && !diskFailed_)
        hooks_.send_(action.to_, encodeMessage(action.message_));
}

auto Replica::perform(const ApplyRecords &action) -> void
{
    for (const auto &record : action.records_)
        hooks_.apply_(record);
}

auto Replica::takeSnapshotWhenDue() -> void
{
    const auto &log = core_->log();
    const auto applied = core_->appliedIndex();
    if (syncBlocked_ || diskFailed_ || now_ < nextSnapshotAt_)
        return;
    if (applied < log.snapshot().position_.index_ + settings_.snapshotAfterRecords_)
        return;
    if (!storage_->hasFreeSpace(2 * log.snapshot().bytes_.size() + recordOverheadBytes))
        return;
    measure("snapshot", [this] { takeSnapshot(); });
}

auto Replica::takeSnapshot() -> void
{
    const auto &log = core_->log();
    const auto applied = core_->appliedIndex();
    const auto snapshot = core_->makeSnapshot(hooks_.takeSnapshot_());
    const auto written = storage_->writeSnapshot(
        snapshot, core_->state(), log.range(applied + 1, log.last().index_, noLimit));
    if (!written) {
        nextSnapshotAt_ = now_ + snapshotRetryInterval;
        if (written.failure().code_ != Error::DiskFull)
            markDiskFailed(written.failure());
        return;
    }
    core_->compact(snapshot.bytes_);
    emit(EventNumber::SnapshotWritten, {{"version", std::to_string(applied)}});
}

auto Replica::markDiskFailed(const Failure &failure) -> void
{
    diskFailed_ = true;
    recoveryDelay_ = recoveryInterval;
    nextRecoveryAt_ = now_ + recoveryDelay_;
    emit(EventNumber::DiskFailed, {{"reason", failure.message_}});
    core_->stepDown(now_);
}

auto Replica::tryRecoverDisk() -> bool
{
    if (now_ < nextRecoveryAt_)
        return false;
    recoveryDelay_ = std::min<Duration>(2 * recoveryDelay_, maxRecoveryInterval);
    nextRecoveryAt_ = now_ + recoveryDelay_;
    const auto &log = core_->log();
    const auto last = log.last().index_;
    // New files, since a write that failed leaves the content of the old ones uncertain. What is in
    // memory holds everything that this replica has acknowledged. The snapshot is a new one: the
    // failed write may have stored one that is newer than the last in memory.
    const auto snapshot = core_->makeSnapshot(hooks_.takeSnapshot_());
    const auto written = storage_->writeSnapshot(
        snapshot, core_->state(), log.range(snapshot.position_.index_ + 1, last, noLimit));
    if (!written)
        return false;
    diskFailed_ = false;
    core_->compact(snapshot.bytes_);
    core_->stepDown(now_);
    core_->onSynced(last);
    emit(EventNumber::DiskRecovered, {{"entry", settings_.self_.text()}});
    return true;
}

auto Replica::emitDiskSpace() -> void
{
    const auto isFull = syncBlocked_ || !hasSpace_;
    if (isFull == fullSince_.has_value())
        return;
    const auto number = isFull ? EventNumber::DiskFull : EventNumber::DiskHasSpace;
    emit(number, {{"entry", settings_.self_.text()}});
    fullSince_ = isFull ? std::optional<MonotonicTime>(now_) : std::nullopt;
}

auto Replica::emitChanges() -> void
{
    emitDiskSpace();
    emitRefusedVote();
    emitLeaderMissing();
    const auto now = leader();
    const auto termText = std::to_string(term());
    if (now != reportedLeader_ && reportedLeader_ == settings_.self_)
        emit(EventNumber::LeaderLost, {{"entry", settings_.self_.text()}, {"version", termText}});
    if (now != reportedLeader_ && now == settings_.self_)
        emit(EventNumber::LeaderElected,
             {{"entry", settings_.self_.text()}, {"version", termText}});
    reportedLeader_ = now;
    if (voters() == reportedVoters_)
        return;
    reportedVoters_ = voters();
    auto names = std::string{};
    for (const auto &voter : reportedVoters_.voters_)
        names += (names.empty() ? "" : " ") + voter.name_.text();
    emit(EventNumber::VotersChanged, {{"reason", names}});
}

auto Replica::emitRefusedVote() -> void
{
    const auto refused = core_->takeRefusedVote();
    if (!refused || now_ < nextRefusalReportAt_)
        return;
    nextRefusalReportAt_ = now_ + refusalReportInterval;
    emit(EventNumber::VoteRefused,
         {{"entry", refused->candidate_.text()},
          {"version", std::to_string(term())},
          {"reason", refusalText(refused->reason_)}});
}

auto Replica::emitLeaderMissing() -> void
{
    const auto silence = now_ - core_->lastLeaderTime();
    if (silence < missingLeaderElectionTimeouts * settings_.electionTimeout_
        || now_ < nextMissingReportAt_)
        return;
    nextMissingReportAt_ = now_ + missingLeaderReportInterval;
    emit(EventNumber::LeaderMissing,
         {{"entry", settings_.self_.text()},
          {"version", std::to_string(term())},
          {"role", roleName(role())},
          {"silenceMs", std::to_string(toMilliseconds(silence))},
          {"lastIndex", std::to_string(lastIndex())},
          {"voters", describeVoters()}});
}

auto Replica::describeVoters() const -> std::string
{
    const auto &answers = core_->lastVoteAnswers();
    auto text = std::string{};
    for (const auto &voter : voters().voters_) {
        const auto found = answers.find(voter.name_);
        const auto isSelf = voter.name_ == settings_.self_;
        const auto answer = found == answers.end() ? "silent" : answerText(found->second);
        text += (text.empty() ? "" : " ") + voter.name_.text() + "=" + (isSelf ? "self" : answer);
    }
    return text;
}

auto Replica::measure(std::string_view kind, const std::function<void()> &work) -> void
{
    if (hooks_.measure_)
        hooks_.measure_(kind, work);
    else
        work();
}

auto Replica::emit(EventNumber number, std::map<std::string, std::string> attributes) -> void
{
    if (hooks_.event_)
        hooks_.event_({number, std::move(attributes)});
}

} // namespace lycheereach
