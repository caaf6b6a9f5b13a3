#include "log/LogCore.h"

#include <algorithm>

namespace lycheereach {

auto LogCore::isVoter() const -> bool
{
    return log_.voters().contains(self_);
}

auto LogCore::resetElectionTimer() -> void
{
    const auto timeout = settings_.electionTimeout_;
    const auto jitter = Duration(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(timeout.count())));
    electionDue_ = now_ + timeout + jitter;
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
    for (const auto &voter : log_.voters().voters_) {
        if (voter.name_ != self_.name_)
            sendWithTerm(voter.name_, VoteRequest{preVote, log_.last()}, term);
    }
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const VoteRequest &body)
    -> void
{
    if (state_.cluster_.empty() || followsLiveLeader())
        return;
    const auto upToDate = body.last_.term_ > log_.last().term_
        || (body.last_.term_ == log_.last().term_ && body.last_.index_ >= log_.last().index_);
    if (body.preVote_) {
        const auto granted = upToDate && message.term_ > state_.term_;
        sendWithTerm(from, VoteReply{true, granted}, granted ? message.term_ : state_.term_);
        return;
    }
    if (message.term_ > state_.term_)
        becomeFollower(message.term_, std::nullopt);
    const auto free = state_.votedFor_.empty() || state_.votedFor_ == from;
    const auto granted = upToDate && free && message.term_ == state_.term_;
    if (granted) {
        state_.votedFor_ = from;
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
