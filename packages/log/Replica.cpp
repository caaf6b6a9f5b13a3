#include "log/Replica.h"

#include "log/LogCore.h"

#include <limits>

namespace lycheereach {

namespace {

/// Disk space required beside the payload of a record, for its encoding.
constexpr auto recordOverheadBytes = std::size_t(1024);

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
    if (diskFailed_)
        return;
    core_->setDiskHasSpace(storage_->hasFreeSpace(recordOverheadBytes));
    core_->tick(now);
    performActions();
}

auto Replica::receive(const EntryId &from, const Json &message, MonotonicTime now) -> void
{
    const auto decoded = decodeMessage(message);
    if (diskFailed_ || !decoded)
        return;
    core_->setDiskHasSpace(
        storage_->hasFreeSpace(settings_.appendLimitBytes_ + recordOverheadBytes));
    core_->receive(from, *decoded, now);
    performActions();
}

auto Replica::propose(std::string payload, MonotonicTime now) -> Result<LogPosition>
{
    if (diskFailed_) {
        return Failure{Error::DiskFailed,
                       "the disk of " + settings_.self_.text()
                           + " failed; replace it and start the process again"};
    }
    core_->setDiskHasSpace(!syncBlocked_
                           && storage_->hasFreeSpace(payload.size() + recordOverheadBytes));
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
        for (const auto &action : actions) {
            std::visit([this](const auto &concrete) { perform(concrete); }, action);
            if (diskFailed_)
                return;
        }
        if (syncBlocked_)
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
    constexpr auto noLimit = std::numeric_limits<std::size_t>::max();
    const auto written = storage_->writeSnapshot(snapshot, core_->state(),
                                                 log.range(index + 1, log.last().index_, noLimit));
    if (!written) {
        markDiskFailed(written.failure());
        return;
    }
    hooks_.restore_(index, snapshot.bytes_);
    emit(EventNumber::SnapshotInstalled, {{"version", std::to_string(index)}});
}

auto Replica::perform(const SendMessage &action) -> void
{
    if (!syncBlocked_)
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
    if (syncBlocked_ || applied < log.snapshot().position_.index_ + settings_.snapshotAfterRecords_)
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
    constexpr auto noLimit = std::numeric_limits<std::size_t>::max();
    const auto written = storage_->writeSnapshot(
        snapshot, core_->state(), log.range(applied + 1, log.last().index_, noLimit));
    if (!written) {
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
    emit(EventNumber::DiskFailed, {{"reason", failure.message_}});
    if (reportedLeader_ == settings_.self_)
        emit(EventNumber::LeaderLost, {{"reason", "the disk failed"}});
}

auto Replica::emitChanges() -> void
{
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
