#include "log/LogCore.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// Voters that have just started ask the others so many times within an election timeout at most.
constexpr auto startProbes = 12;
/// After a vote they wait this part of an election timeout for the leader that it may have elected.
constexpr auto votePart = 3;

} // namespace

auto LogCore::isVoter() const -> bool
{
    return log_.voters().contains(self_);
}

auto LogCore::jitter(Duration longest) -> Duration
{
    return Duration(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest.count())));
}

auto LogCore::resetElectionTimer() -> void
{
    const auto timeout = settings_.electionTimeout_;
    electionDue_ = now_ + timeout + jitter(timeout);
}

auto LogCore::mayProbeStart() const -> bool
{
    // A leader that removed itself may still lead until that is committed.
    const auto isSettled = log_.votersAt(state_.commitIndex_) == log_.voters();
    return isFresh_ && !hasStood_ && isVoter() && isSettled && log_.voters().voters_.size() > 1;
}

auto LogCore::probeStart() -> void
{
    const auto pause = settings_.electionTimeout_ / startProbes;
    startProbeDue_ = now_ + pause + jitter(pause);
    ++startRound_;
    startGranted_ = {self_.name_};
    for (const auto &voter : log_.voters().voters_) {
        if (voter.name_ != self_.name_)
            sendWithTerm(voter.name_, VoteRequest{true, log_.last(), startRound_},
                         state_.term_ + 1);
    }
}

auto LogCore::handleStartReply(const EntryId &from, const LogMessage &message,
                               const VoteReply &body) -> void
{
    const auto isAwaited = body.start_ == startRound_ && message.term_ == state_.term_ + 1;
    if (!isAwaited || !mayProbeStart() || !log_.voters().contains({from, message.generation_}))
        return;
    startGranted_.insert(from);
    if (startGranted_.size() == log_.voters().voters_.size())
        standForElection(false);
}

auto LogCore::followsLiveLeader() const -> bool
{
    return role_ == ReplicaRole::Leader || now_ < leaderHeard_ + settings_.electionTimeout_;
}

auto LogCore::hasVoteQuorum() const -> bool
{
    return granted_.size() >= log_.voters().quorum();
}

auto LogCore::standForElection(bool preVote) -> void
{
    role_ = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    leader_.reset();
    granted_ = {self_.name_};
    resetElectionTimer();
    if (!preVote) {
        ++state_.term_;
        state_.votedFor_ = self_.name_;
        hasStood_ = true;
        markUnsynced();
    }
    if (hasVoteQuorum()) {
        if (preVote)
            standForElection(false);
        else
            becomeLeader();
        return;
    }
    const auto term = preVote ? state_.term_ + 1 : state_.term_;
    const auto isUnanimous = startGranted_.size() == log_.voters().voters_.size();
    const auto start = !preVote && isFresh_ && isUnanimous ? startRound_ : 0;
    // What the others said holds for this election only; they may have followed a leader by the
    // next.
    startGranted_.clear();
    for (const auto &voter : log_.voters().voters_) {
        if (voter.name_ != self_.name_)
            sendWithTerm(voter.name_, VoteRequest{preVote, log_.last(), start}, term);
    }
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const VoteRequest &body)
    -> void
{
    // A voter that has just started keeps the lease of a leader that it may have followed before,
    // unless that leader is known to have started anew as well.
    const auto startsToo = body.start_ != 0 && isFresh_;
    if (state_.cluster_.empty() || (!startsToo && followsLiveLeader()))
        return;
    const auto upToDate = body.last_.term_ > log_.last().term_
        || (body.last_.term_ == log_.last().term_ && body.last_.index_ >= log_.last().index_);
    if (body.preVote_) {
        const auto granted = upToDate && message.term_ > state_.term_;
        const auto start = startsToo ? body.start_ : 0;
        sendWithTerm(from, VoteReply{true, granted, start}, granted ? message.term_ : state_.term_);
        return;
    }
    if (message.term_ > state_.term_)
        becomeFollower(message.term_, std::nullopt);
    const auto free = state_.votedFor_.empty() || state_.votedFor_ == from;
    const auto granted = upToDate && free && message.term_ == state_.term_;
    if (granted) {
        state_.votedFor_ = from;
        startProbeDue_ = now_ + settings_.electionTimeout_ / votePart;
        markUnsynced();
        resetElectionTimer();
    }
    send(from, VoteReply{false, granted});
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const VoteReply &body) -> void
{
    if (!body.granted_) {
        if (message.term_ > state_.term_)
            becomeFollower(message.term_, std::nullopt);
        return;
    }
    if (body.start_ != 0) {
        handleStartReply(from, message, body);
        return;
    }
    const auto awaited = body.preVote_
        ? role_ == ReplicaRole::PreCandidate && message.term_ == state_.term_ + 1
        : role_ == ReplicaRole::Candidate && message.term_ == state_.term_;
    if (!awaited || !log_.voters().contains({from, message.generation_}))
        return;
    granted_.insert(from);
    if (!hasVoteQuorum())
        return;
    if (body.preVote_)
        standForElection(false);
    else
        becomeLeader();
}

auto LogCore::becomeLeader() -> void
{
    role_ = ReplicaRole::Leader;
    isFresh_ = false;
    leader_ = self_.name_;
    leaderSince_ = now_;
    peers_.clear();
    updatePeers();
    termStart_ = appendOwn(RecordKind::NoOp, "").index_;
}

auto LogCore::becomeFollower(Term term, std::optional<EntryId> leader) -> void
{
    if (term > state_.term_) {
        state_.term_ = term;
        state_.votedFor_ = EntryId();
        markUnsynced();
    }
    if (role_ == ReplicaRole::Leader)
        resetElectionTimer();
    role_ = ReplicaRole::Follower;
    leader_ = std::move(leader);
}

auto LogCore::quorumContact() const -> std::optional<MonotonicTime>
{
    auto contacts = std::vector<MonotonicTime>{};
    for (const auto &voter : log_.voters().voters_) {
        const auto *peer = countedVoter(voter);
        if (voter == self_)
            contacts.push_back(now_);
        else if (peer != nullptr && peer->contact_)
            contacts.push_back(*peer->contact_);
    }
    const auto quorum = log_.voters().quorum();
    if (contacts.size() < quorum)
        return std::nullopt;
    std::sort(contacts.rbegin(), contacts.rend());
    return contacts[quorum - 1];
}

auto LogCore::holdsLeaderLease(MonotonicTime now) const -> bool
{
    if (role_ != ReplicaRole::Leader || appliedIndex_ < termStart_)
        return false;
    if (log_.voters().quorum() == 1 && isVoter())
        return true;
    // A tenth of the promised time allows for clocks that run at different rates.
    const auto contact = quorumContact();
    return contact && now < *contact + settings_.electionTimeout_ * 9 / 10;
}

} // namespace lycheereach
