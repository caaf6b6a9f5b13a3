#include "log/LogCore.h"

#include <algorithm>
#include <functional>

namespace lycheereach {

namespace {

/// The most records by which a learner may trail the commit index when it becomes a voter.
constexpr auto maximumLearnerLagRecords = LogIndex(64);
/// The most unacknowledged records sent to one peer.
constexpr auto maximumRecordsInFlight = LogIndex(4096);
/// A voter that a new leader has not heard is silent after this number of heartbeats.
constexpr auto newLeaderSilenceHeartbeats = 2U;

} // namespace

auto LogCore::acceptLeader(const EntryId &from, const LogMessage &message) -> bool
{
    if (message.term_ < state_.term_)
        return false;
    if (state_.cluster_.empty()) {
        state_.cluster_ = message.cluster_;
        markUnsynced();
    }
    becomeFollower(message.term_, from);
    lastLeaderContact_ = now_;
    noLeaderSinceStart_ = false;
    resetElectionTimer();
    return true;
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const AppendRequest &body)
    -> void
{
    auto reply = AppendReply{};
    if (acceptLeader(from, message))
        reply = appendFromLeader(body);
    reply.previousIndex_ = body.previousPosition_.index_;
    reply.sentAt_ = body.sentAt_;
    send(from, reply);
}

auto LogCore::appendFromLeader(const AppendRequest &body) -> AppendReply
{
    auto reply = AppendReply{};
    const auto previous = body.previousPosition_.index_;
    const auto base = log_.base().index_;
    if (previous > log_.last().index_) {
        reply.matchIndex_ = log_.last().index_;
        return reply;
    }
    if (previous > base && *log_.termAt(previous) != body.previousPosition_.term_) {
        reply.matchIndex_ = std::max(log_.firstIndexOfTermAt(previous) - 1, state_.commitIndex_);
        return reply;
    }
    reply.accepted_ = true;
    reply.diskFull_ = !diskHasSpace_;
    reply.matchIndex_ = previous;
    for (const auto &record : body.records_) {
        const auto existingTerm = log_.termAt(record.index_);
        if (record.index_ > base && existingTerm != record.term_) {
            if (reply.diskFull_)
                break;
            if (existingTerm)
                truncateAfter(record.index_ - 1);
            appendRecord(record);
        }
        reply.matchIndex_ = record.index_;
    }
    const auto commit = std::min(body.commitIndex_, reply.matchIndex_);
    state_.commitIndex_ = std::max(state_.commitIndex_, commit);
    return reply;
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const InstallRequest &body)
    -> void
{
    const auto &snapshot = body.snapshot_;
    auto reply = AppendReply{false, snapshot.position_.index_, 0, body.sentAt_, false};
    if (acceptLeader(from, message)) {
        reply.accepted_ = true;
        reply.diskFull_ = !diskHasSpace_;
        reply.matchIndex_ = diskHasSpace_ ? snapshot.position_.index_ : state_.commitIndex_;
        if (reply.matchIndex_ > state_.commitIndex_) {
            log_.install(snapshot);
            state_.commitIndex_ = snapshot.position_.index_;
            appliedIndex_ = snapshot.position_.index_;
            pendingInstall_ = true;
            needsSync_ = true;
        }
    }
    send(from, reply);
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const AppendReply &body)
    -> void
{
    if (message.term_ > state_.term_) {
        becomeFollower(message.term_, std::nullopt);
        return;
    }
    const auto found = peers_.find(from);
    if (role_ != ReplicaRole::Leader || message.term_ < state_.term_ || found == peers_.end())
        return;
    auto &peer = found->second;
    if (peer.generation_ != message.generation_) {
        peer = Peer{};
        peer.nextIndex_ = log_.last().index_ + 1;
        peer.generation_ = message.generation_;
    }
    const auto sentAt = MonotonicTime(Duration(body.sentAt_));
    peer.lastContact_ = std::max(sentAt, peer.lastContact_.value_or(sentAt));
    peer.unansweredHeartbeats_ = 0;
    peer.diskFull_ = body.diskFull_;
    if (body.accepted_) {
        peer.matchIndex_ = std::max(peer.matchIndex_, body.matchIndex_);
        peer.nextIndex_ = body.diskFull_ ? peer.matchIndex_ + 1
                                         : std::max(peer.nextIndex_, peer.matchIndex_ + 1);
        advanceCommitIndex();
        peer.probing_ = false;
        peer.lastAcceptedAt_ = std::max(peer.lastAcceptedAt_, sentAt);
        return;
    }
    // The peer refuses records that it had acknowledged: an older copy of its data folder was
    // restored.
    if (body.previousIndex_ <= peer.matchIndex_ && sentAt > peer.lastAcceptedAt_)
        peer.matchIndex_ = 0;
    if (body.previousIndex_ > peer.matchIndex_
        && (!peer.probing_ || body.previousIndex_ + 1 == peer.nextIndex_)) {
        peer.nextIndex_
            = std::max(std::min(body.matchIndex_, body.previousIndex_ - 1), peer.matchIndex_) + 1;
        peer.probing_ = true;
        peer.probeSent_ = false;
    }
}

auto LogCore::findVoterPeer(const VoterIdentity &voter) const -> const Peer *
{
    const auto found = peers_.find(voter.name_);
    if (found == peers_.end() || found->second.generation_ != voter.generation_)
        return nullptr;
    return &found->second;
}

auto LogCore::advanceCommitIndex() -> void
{
    auto matches = std::vector<LogIndex>{};
    for (const auto &voter : log_.voters().voters_) {
        const auto *peer = findVoterPeer(voter);
        if (voter == self_)
            matches.push_back(syncedIndex_);
        else
            matches.push_back(peer == nullptr ? 0 : peer->matchIndex_);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const auto index = matches[log_.voters().quorum() - 1];
    if (index <= state_.commitIndex_ || log_.termAt(index) != state_.term_)
        return;
    state_.commitIndex_ = index;
    if (!isVoter() && index >= log_.votersIndex())
        becomeFollower(state_.term_, std::nullopt);
}

auto LogCore::appendAsLeader(RecordKind kind, std::string payload) -> LogPosition
{
    const auto record = LogRecord{log_.last().index_ + 1, state_.term_, kind, std::move(payload)};
    appendRecord(record);
    return record.position();
}

auto LogCore::leaderTick() -> void
{
    const auto contact = quorumContactTime().value_or(becameLeaderAt_);
    if (now_ > std::max(contact, becameLeaderAt_) + settings_.electionTimeout_)
        becomeFollower(state_.term_, std::nullopt);
}

auto LogCore::updatePeers() -> void
{
    auto names = learners_;
    for (const auto &voter : log_.voters().voters_)
        names.insert(voter.name_);
    names.erase(self_.name_);
    std::erase_if(peers_, [&](const auto &peer) { return !names.contains(peer.first); });
    for (const auto &name : names) {
        const auto [position, inserted] = peers_.try_emplace(name);
        if (!inserted)
            continue;
        position->second.nextIndex_ = log_.last().index_ + 1;
        position->second.unansweredHeartbeats_
            = silenceLimitHeartbeats() - newLeaderSilenceHeartbeats;
    }
}

auto LogCore::replicateToPeers() -> void
{
    // Records are sent only once their term is synced: otherwise a restart could forget the term
    // and use it again.
    if (syncedTerm_ != state_.term_)
        return;
    updatePeers();
    for (auto &[name, peer] : peers_) {
        const auto reachable = isInContact(peer);
        if (now_ >= peer.nextHeartbeatAt_) {
            peer.nextHeartbeatAt_ = now_ + settings_.heartbeatInterval_;
            peer.probeSent_ = false;
            ++peer.unansweredHeartbeats_;
            sendRecords(name, peer, true);
        }
        if (reachable && !peer.diskFull_)
            sendNewRecords(name, peer);
    }
}

auto LogCore::sendNewRecords(const EntryId &name, Peer &peer) -> void
{
    while (peer.nextIndex_ <= log_.last().index_
           && peer.nextIndex_ <= peer.matchIndex_ + maximumRecordsInFlight) {
        if (peer.probing_ && peer.probeSent_)
            return;
        const auto before = peer.nextIndex_;
        sendRecords(name, peer, false);
        if (peer.nextIndex_ == before)
            return;
        if (peer.probing_) {
            peer.nextIndex_ = before;
            peer.probeSent_ = true;
        }
    }
}

auto LogCore::sendRecords(const EntryId &name, Peer &peer, bool heartbeat) -> void
{
    const auto needsSnapshot = peer.nextIndex_ <= log_.base().index_;
    if (needsSnapshot)
        sendSnapshot(name, peer);
    if (needsSnapshot && !heartbeat)
        return;
    const auto previous = needsSnapshot ? log_.base().index_ : peer.nextIndex_ - 1;
    auto body = AppendRequest{};
    body.previousPosition_ = {previous, *log_.termAt(previous)};
    body.commitIndex_ = state_.commitIndex_;
    body.sentAt_ = now_.time_since_epoch().count();
    if (!needsSnapshot && (!heartbeat || peer.diskFull_)) {
        body.records_
            = log_.range(peer.nextIndex_, log_.last().index_, settings_.appendLimitBytes_);
        peer.nextIndex_ += body.records_.size();
    }
    sendsBeforeSync_.push_back(
        {name, {state_.cluster_, self_.generation_, state_.term_, std::move(body)}});
}

auto LogCore::sendSnapshot(const EntryId &name, Peer &peer) -> void
{
    if (now_ < peer.nextSnapshotAt_)
        return;
    peer.nextSnapshotAt_ = now_ + settings_.electionTimeout_;
    auto body = InstallRequest{log_.snapshot(), now_.time_since_epoch().count()};
    sendsBeforeSync_.push_back(
        {name, {state_.cluster_, self_.generation_, state_.term_, std::move(body)}});
}

auto LogCore::addLearner(const EntryId &name) -> void
{
    learners_.insert(name);
}

auto LogCore::removeLearner(const EntryId &name) -> void
{
    learners_.erase(name);
}

auto LogCore::notLeaderFailure() const -> Failure
{
    const auto leaderHint = leader_ ? "ask " + leader_->text() : std::string("no leader is known");
    return {Error::NotLeader, self_.name_.text() + " is not the leader of the log; " + leaderHint};
}

auto LogCore::isInContact(const Peer &peer) const -> bool
{
    return peer.lastContact_ && now_ < *peer.lastContact_ + settings_.electionTimeout_;
}

auto LogCore::hasCaughtUp(const Peer &peer) const -> bool
{
    return peer.matchIndex_ != 0
        && peer.matchIndex_ + maximumLearnerLagRecords >= state_.commitIndex_;
}

auto LogCore::silenceLimitHeartbeats() const -> unsigned
{
    const auto heartbeats = settings_.electionTimeout_ / settings_.heartbeatInterval_;
    return std::max(static_cast<unsigned>(heartbeats), newLeaderSilenceHeartbeats);
}

auto LogCore::isSilent(const Peer &peer) const -> bool
{
    return peer.unansweredHeartbeats_ >= silenceLimitHeartbeats();
}

auto LogCore::diskFullBlocksQuorum() const -> bool
{
    auto fullVoters = std::size_t(0);
    for (const auto &voter : log_.voters().voters_) {
        const auto *peer = findVoterPeer(voter);
        if (voter == self_ ? !diskHasSpace_ : peer != nullptr && peer->diskFull_)
            ++fullVoters;
    }
    return log_.voters().voters_.size() - fullVoters < log_.voters().quorum();
}

auto LogCore::othersCanCommit() const -> bool
{
    auto able = std::size_t(0);
    for (const auto &voter : log_.voters().voters_) {
        const auto *peer = voter == self_ ? nullptr : findVoterPeer(voter);
        if (peer != nullptr && isInContact(*peer) && !peer->diskFull_
            && peer->matchIndex_ >= state_.commitIndex_)
            ++able;
    }
    return able >= log_.voters().quorum();
}

auto LogCore::propose(std::string payload, MonotonicTime now) -> Result<LogPosition>
{
    now_ = now;
    if (role_ != ReplicaRole::Leader)
        return notLeaderFailure();
    // A leader whose own disk is full goes on while records become durable at the other voters.
    if (diskHasSpace_ ? diskFullBlocksQuorum() : !othersCanCommit()) {
        return Failure{Error::DiskFull,
                       "the disks of the replicated log are full; free space under the data "
                       "folders of the voters and try again"};
    }
    return appendAsLeader(RecordKind::StateCommand, std::move(payload));
}

auto LogCore::wipedVoters() const -> std::set<EntryId>
{
    auto wiped = std::set<EntryId>{};
    for (const auto &voter : log_.voters().voters_) {
        const auto peer = peers_.find(voter.name_);
        const auto wasHeard = peer != peers_.end() && peer->second.generation_ != 0;
        if (wasHeard && peer->second.generation_ != voter.generation_)
            wiped.insert(voter.name_);
    }
    return wiped;
}

auto LogCore::silentVoters() const -> std::set<EntryId>
{
    auto silent = std::set<EntryId>{};
    for (const auto &voter : log_.voters().voters_) {
        const auto peer = peers_.find(voter.name_);
        if (peer != peers_.end() && isSilent(peer->second))
            silent.insert(voter.name_);
    }
    return silent;
}

auto LogCore::readyLearners() const -> std::set<EntryId>
{
    auto ready = std::set<EntryId>{};
    for (const auto &[name, peer] : peers_) {
        // The last contact of an instance that has fallen silent may be recent enough.
        if (!log_.voters().containsName(name) && isInContact(peer) && !isSilent(peer)
            && hasCaughtUp(peer) && !peer.diskFull_)
            ready.insert(name);
    }
    return ready;
}

auto LogCore::validateVoterChange(const std::optional<EntryId> &add,
                                  const std::optional<EntryId> &remove) const -> Result<Nothing>
{
    if (add.has_value() == remove.has_value())
        return Failure{Error::InvalidArgument, "voters change one at a time: add or remove one"};
    if (state_.commitIndex_ < std::max(log_.votersIndex(), termStartIndex_))
        return Failure{Error::Conflict, "the previous voter change is not committed; try later"};
    if (remove) {
        if (!log_.voters().containsName(*remove))
            return Failure{Error::NotFound, remove->text() + " is not a voter"};
        if (log_.voters().voters_.size() == 1)
            return Failure{Error::InvalidArgument, "the last voter can't be removed"};
        return Nothing{};
    }
    if (log_.voters().containsName(*add))
        return Failure{Error::Conflict, add->text() + " is a voter already; remove it first"};
    const auto peer = peers_.find(*add);
    if (peer == peers_.end() || !hasCaughtUp(peer->second))
        return Failure{Error::Conflict,
                       add->text() + " has not caught up; add it as a learner and try later"};
    return Nothing{};
}

auto LogCore::changeVoters(const std::optional<EntryId> &add, const std::optional<EntryId> &remove,
                           MonotonicTime now) -> Result<LogPosition>
{
    now_ = now;
    if (role_ != ReplicaRole::Leader)
        return notLeaderFailure();
    if (auto checked = validateVoterChange(add, remove); !checked)
        return checked.failure();
    const auto &voters = log_.voters();
    const auto changed
        = add ? voters.with({*add, peers_.at(*add).generation_}) : voters.without(*remove);
    return appendAsLeader(RecordKind::Voters, toPayload(changed));
}

} // namespace lycheereach
