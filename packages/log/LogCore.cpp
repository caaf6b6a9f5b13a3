#include "log/LogCore.h"

#include <algorithm>
#include <limits>

namespace lycheereach {

namespace {

/// A replica sends its first restart probe at a random time within the election timeout divided by
/// this, so that processes that start together spread their probes.
constexpr auto restartProbeSpreadDivisor = 8;

} // namespace

LogCore::LogCore(ReplicaSettings settings, const StoredLog &stored, RandomSource random,
                 MonotonicTime now)
    : settings_(std::move(settings))
    , self_(*stored.identity_)
    , random_(std::move(random))
    , now_(now)
    , state_(stored.state_)
    , log_(stored.snapshot_, stored.records_)
    , appliedIndex_(stored.snapshot_.position_.index_)
    , syncedIndex_(log_.last().index_)
    , syncedTerm_(state_.term_)
    , lastLeaderContact_(now)
    , nextGreetingAt_(now)
{
    state_.commitIndex_ = std::clamp(state_.commitIndex_, appliedIndex_, syncedIndex_);
    resetElectionTimer();
    nextRestartProbeAt_ = now + randomDelay(settings_.electionTimeout_ / restartProbeSpreadDivisor);
}

auto LogCore::role() const -> ReplicaRole
{
    return role_ == ReplicaRole::Follower && !isVoter() ? ReplicaRole::Learner : role_;
}

auto LogCore::lastLeaderTime() const -> MonotonicTime
{
    return role_ == ReplicaRole::Leader ? now_ : std::max(lastLeaderContact_, ledUntil_);
}

auto LogCore::setDiskHasSpace(bool hasSpace) -> void
{
    diskHasSpace_ = hasSpace;
}

auto LogCore::tick(MonotonicTime now) -> void
{
    now_ = now;
    if (state_.cluster_.empty())
        bootstrapTick();
    else if (role_ == ReplicaRole::Leader)
        leaderTick();
    else if (isVoter() && now_ >= electionDeadline_)
        startElection(true);
    else if (now_ >= nextRestartProbeAt_ && maySendRestartProbe())
        sendRestartProbe();
}

auto LogCore::receive(const EntryId &from, const LogMessage &message, MonotonicTime now) -> void
{
    now_ = now;
    const auto otherCluster = !message.cluster_.empty() && !state_.cluster_.empty()
        && message.cluster_ != state_.cluster_;
    if (otherCluster || from == self_.name_)
        return;
    std::visit([&](const auto &body) { handle(from, message, body); }, message.body_);
}

auto LogCore::takeActions() -> std::vector<LogAction>
{
    auto actions = std::vector<LogAction>{};
    if (role_ == ReplicaRole::Leader)
        replicateToPeers();
    if (pendingInstall_) {
        actions.emplace_back(InstallSnapshot{});
        pendingInstall_ = false;
        pendingTruncation_.reset();
        pendingRecords_.clear();
    } else if (needsSync_) {
        actions.emplace_back(StageWrites{state_, pendingTruncation_, std::move(pendingRecords_)});
        pendingTruncation_.reset();
        pendingRecords_.clear();
    }
    for (auto &message : sendsBeforeSync_)
        actions.emplace_back(std::move(message));
    sendsBeforeSync_.clear();
    if (needsSync_)
        actions.emplace_back(SyncWrites{log_.last().index_});
    for (auto &message : sendsAfterSync_)
        actions.emplace_back(std::move(message));
    sendsAfterSync_.clear();
    if (state_.commitIndex_ > appliedIndex_) {
        constexpr auto noLimit = std::numeric_limits<std::size_t>::max();
        actions.emplace_back(
            ApplyRecords{log_.range(appliedIndex_ + 1, state_.commitIndex_, noLimit)});
        appliedIndex_ = state_.commitIndex_;
    }
    return actions;
}

auto LogCore::onSynced(LogIndex lastIndex) -> void
{
    needsSync_ = false;
    syncedIndex_ = lastIndex;
    syncedTerm_ = state_.term_;
    if (role_ == ReplicaRole::Leader)
        advanceCommitIndex();
}

auto LogCore::makeSnapshot(std::string bytes) const -> LogSnapshot
{
    return {{appliedIndex_, log_.termAt(appliedIndex_).value_or(0)},
            log_.votersAt(appliedIndex_),
            std::move(bytes)};
}

auto LogCore::compact(std::string bytes) -> void
{
    log_.compact(makeSnapshot(std::move(bytes)), settings_.snapshotAfterRecords_ / 2);
}

auto LogCore::send(const EntryId &to, LogMessageBody body) -> void
{
    sendWithTerm(to, std::move(body), state_.term_);
}

auto LogCore::sendWithTerm(const EntryId &to, LogMessageBody body, Term term) -> void
{
    sendsAfterSync_.push_back({to, {state_.cluster_, self_.generation_, term, std::move(body)}});
}

auto LogCore::markUnsynced() -> void
{
    needsSync_ = true;
}

auto LogCore::appendRecord(const LogRecord &record) -> void
{
    log_.append(record);
    pendingRecords_.push_back(record);
    needsSync_ = true;
}

auto LogCore::truncateAfter(LogIndex index) -> void
{
    log_.truncateAfter(index);
    std::erase_if(pendingRecords_, [&](const auto &record) { return record.index_ > index; });
    pendingTruncation_ = std::min(index, pendingTruncation_.value_or(index));
    syncedIndex_ = std::min(syncedIndex_, index);
    needsSync_ = true;
}

} // namespace lycheereach
