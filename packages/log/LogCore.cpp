#include "log/LogCore.h"

#include <algorithm>
#include <limits>

namespace lycheereach {

namespace {

/// Processes that start together ask for the first time within this part of an election timeout.
constexpr auto startSpread = 8;

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
    , leaderHeard_(now)
    , greetingDue_(now)
{
    state_.commitIndex_ = std::clamp(state_.commitIndex_, appliedIndex_, syncedIndex_);
    resetElectionTimer();
    startProbeDue_ = now + jitter(settings_.electionTimeout_ / startSpread);
}

auto LogCore::role() const -> ReplicaRole
{
    return role_ == ReplicaRole::Follower && !isVoter() ? ReplicaRole::Learner : role_;
}

auto LogCore::setRoom(bool room) -> void
{
    room_ = room;
}

auto LogCore::tick(MonotonicTime now) -> void
{
    now_ = now;
    if (state_.cluster_.empty())
        foundingTick();
    else if (role_ == ReplicaRole::Leader)
        leaderTick();
    else if (isVoter() && now_ >= electionDue_)
        standForElection(true);
    else if (now_ >= startProbeDue_ && mayProbeStart())
        probeStart();
}

auto LogCore::receive(const EntryId &from, const LogMessage &message, MonotonicTime now) -> void
{
    now_ = now;
    const auto foreign = !message.cluster_.empty() && !state_.cluster_.empty()
        && message.cluster_ != state_.cluster_;
    if (foreign || from == self_.name_)
        return;
    std::visit([&](const auto &body) { handle(from, message, body); }, message.body_);
}

auto LogCore::takeActions() -> std::vector<LogAction>
{
    auto actions = std::vector<LogAction>{};
    if (role_ == ReplicaRole::Leader)
        sendToPeers();
    if (pendingInstall_) {
        actions.emplace_back(InstallSnapshot{});
        pendingInstall_ = false;
        pendingTruncation_.reset();
        pendingRecords_.clear();
    } else if (unsynced_) {
        actions.emplace_back(StageWrites{state_, pendingTruncation_, std::move(pendingRecords_)});
        pendingTruncation_.reset();
        pendingRecords_.clear();
    }
    for (auto &message : sendsBeforeSync_)
        actions.emplace_back(std::move(message));
    sendsBeforeSync_.clear();
    if (unsynced_)
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

auto LogCore::synced(LogIndex lastIndex) -> void
{
    unsynced_ = false;
    syncedIndex_ = lastIndex;
    syncedTerm_ = state_.term_;
    if (role_ == ReplicaRole::Leader)
        advanceCommit();
}

auto LogCore::snapshotOf(std::string bytes) const -> LogSnapshot
{
    return {{appliedIndex_, log_.termAt(appliedIndex_).value_or(0)},
            log_.votersAt(appliedIndex_),
            std::move(bytes)};
}

auto LogCore::compact(std::string bytes) -> void
{
    log_.compact(snapshotOf(std::move(bytes)), settings_.snapshotAfterRecords_ / 2);
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
    unsynced_ = true;
}

auto LogCore::appendRecord(const LogRecord &record) -> void
{
    log_.append(record);
    pendingRecords_.push_back(record);
    unsynced_ = true;
}

auto LogCore::truncateAfter(LogIndex index) -> void
{
    log_.truncateAfter(index);
    std::erase_if(pendingRecords_, [&](const auto &record) { return record.index_ > index; });
    pendingTruncation_ = std::min(index, pendingTruncation_.value_or(index));
    syncedIndex_ = std::min(syncedIndex_, index);
    unsynced_ = true;
}

} // namespace lycheereach
