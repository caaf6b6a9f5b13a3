#include "log/LogCore.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// The most restart probes that a voter sends within an election timeout.
constexpr auto restartProbesPerElectionTimeout = 12;
/// The most pre-votes that a voter asks for within an election timeout.
constexpr auto preVotesPerElectionTimeout = 4;
/// After granting a vote, a voter sends no restart probe for the election timeout divided by this:
/// its vote may have elected a leader.
constexpr auto postVoteWaitDivisor = 3;

} // namespace

auto LogCore::isVoter() const -> bool
{
    return log_.voters().contains(self_);
}

auto LogCore::randomDelay(Duration longest) -> Duration
{
    return Duration(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest.count())));
}

auto LogCore::resetElectionTimer() -> void
{
    const auto timeout = settings_.electionTimeout_;
    // A voter without disk space may be unable to store its vote; another one stands first.
    const auto handicap = diskHasSpace_ ? Duration::zero() : 2 * timeout;
    electionDeadline_ = now_ + timeout + randomDelay(timeout) + handicap;
}

auto LogCore::preVoteInterval() -> Duration
{
    const auto shortest = settings_.electionTimeout_ / preVotesPerElectionTimeout;
    return shortest + randomDelay(shortest);
}

auto LogCore::shortenElectionTimer() -> void
{
    const auto rest = electionDeadline_ - now_;
    if (rest > settings_.electionTimeout_ / 2)
        electionDeadline_ = now_ + rest / preVotesPerElectionTimeout;
}

auto LogCore::maySendRestartProbe() const -> bool
{
    // The probe asks only the current voters. While a voter change is uncommitted, a leader that
    // removed itself may still lead and would not be asked.
    const auto voterChangeCommitted = log_.votersAt(state_.commitIndex_) == log_.voters();
    return noLeaderSinceStart_ && !hasStartedElection_ && isVoter() && voterChangeCommitted
        && log_.voters().voters_.size() > 1;
}

auto LogCore::sendRestartProbe() -> void
{
    const auto interval = settings_.electionTimeout_ / restartProbesPerElectionTimeout;
    nextRestartProbeAt_ = now_ + interval + randomDelay(interval);
    ++restartProbeRound_;
    restartedVoters_ = {self_.name_};
    for (const auto &voter : log_.voters().voters_) {
        if (voter.name_ != self_.name_)
            sendWithTerm(voter.name_, VoteRequest{true, log_.last(), restartProbeRound_},
                         state_.term_ + 1);
    }
}

auto LogCore::handleRestartReply(const EntryId &from, const LogMessage &message,
                                 const VoteReply &body) -> void
{
    const auto answersCurrentProbe
        = body.restartRound_ == restartProbeRound_ && message.term_ == state_.term_ + 1;
    if (!answersCurrentProbe || !maySendRestartProbe()
        || !log_.voters().contains({from, message.generation_}))
        return;
    restartedVoters_.insert(from);
    if (restartedVoters_.size() == log_.voters().voters_.size())
        startElection(false);
}

auto LogCore::mustRefuseVotes() const -> bool
{
    return role_ == ReplicaRole::Leader || now_ < lastLeaderContact_ + settings_.electionTimeout_;
}

auto LogCore::hasVoteQuorum() const -> bool
{
    return votesReceived_.size() >= log_.voters().quorum();
}

auto LogCore::startElection(bool preVote) -> void
{
    role_ = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    leader_.reset();
    votesReceived_ = {self_.name_};
    lastVoteAnswers_ = std::exchange(voteAnswers_, {});
    if (preVote)
        electionDeadline_ = now_ + preVoteInterval();
    else
        resetElectionTimer();
    if (!preVote) {
        ++state_.term_;
        state_.votedFor_ = self_.name_;
        hasStartedElection_ = true;
        markUnsynced();
    }
    if (hasVoteQuorum()) {
        if (preVote)
            startElection(false);
        else
            becomeLeader();
        return;
    }
    const auto term = preVote ? state_.term_ + 1 : state_.term_;
    const auto allRestarted = restartedVoters_.size() == log_.voters().voters_.size();
    const auto restartRound
        = !preVote && noLeaderSinceStart_ && allRestarted ? restartProbeRound_ : 0;
    // The restart replies are valid for this election only: by the next one, voters may have
    // followed a leader.
    restartedVoters_.clear();
    for (const auto &voter : log_.voters().voters_) {
        if (voter.name_ != self_.name_)
            sendWithTerm(voter.name_, VoteRequest{preVote, log_.last(), restartRound}, term);
    }
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const VoteRequest &body)
    -> void
{
    // After a restart, a voter still honours the lease of a leader that it may have followed
    // before, unless that leader is known to have restarted as well.
    const auto bothJustStarted = body.restartRound_ != 0 && noLeaderSinceStart_;
    if (state_.cluster_.empty() || (!bothJustStarted && mustRefuseVotes())) {
        noteRefusal(from, body,
                    state_.cluster_.empty() ? VoteRefusal::NoCluster : VoteRefusal::LeaderHeard);
        return;
    }
    const auto upToDate = body.lastPosition_.term_ > log_.last().term_
        || (body.lastPosition_.term_ == log_.last().term_
            && body.lastPosition_.index_ >= log_.last().index_);
    if (body.isPreVote_) {
        const auto granted = upToDate && message.term_ > state_.term_;
        const auto restartRound = bothJustStarted ? body.restartRound_ : 0;
        if (!granted)
            noteRefusal(from, body, upToDate ? VoteRefusal::OlderTerm : VoteRefusal::OlderLog);
        sendWithTerm(from, VoteReply{true, granted, restartRound},
                     granted ? message.term_ : state_.term_);
        return;
    }
    if (message.term_ > state_.term_)
        becomeFollower(message.term_, std::nullopt);
    const auto canVote = state_.votedFor_.empty() || state_.votedFor_ == from;
    const auto granted = upToDate && canVote && message.term_ == state_.term_;
    if (granted) {
        state_.votedFor_ = from;
        nextRestartProbeAt_ = now_ + settings_.electionTimeout_ / postVoteWaitDivisor;
        markUnsynced();
        resetElectionTimer();
    } else {
        const auto termReason
            = message.term_ == state_.term_ ? VoteRefusal::VotedForAnother : VoteRefusal::OlderTerm;
        noteRefusal(from, body, upToDate ? termReason : VoteRefusal::OlderLog);
    }
    send(from, VoteReply{false, granted});
}

auto LogCore::noteRefusal(const EntryId &candidate, const VoteRequest &body, VoteRefusal reason)
    -> void
{
    if (body.restartRound_ == 0)
        refusedVote_ = RefusedVote{candidate, reason};
}

auto LogCore::takeRefusedVote() -> std::optional<RefusedVote>
{
    return std::exchange(refusedVote_, std::nullopt);
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const VoteReply &body) -> void
{
    if (!body.granted_) {
        voteAnswers_.insert_or_assign(from, VoteAnswer::Refused);
        if (message.term_ > state_.term_)
            becomeFollower(message.term_, std::nullopt);
        else if (role_ == ReplicaRole::Candidate && message.term_ == state_.term_)
            shortenElectionTimer();
        return;
    }
    if (body.restartRound_ != 0) {
        handleRestartReply(from, message, body);
        return;
    }
    const auto isExpectedReply = body.isPreVote_
        ? role_ == ReplicaRole::PreCandidate && message.term_ == state_.term_ + 1
        : role_ == ReplicaRole::Candidate && message.term_ == state_.term_;
    if (!isExpectedReply)
        return;
    const auto isCounted = log_.voters().contains({from, message.generation_});
    voteAnswers_.insert_or_assign(from, isCounted ? VoteAnswer::Granted : VoteAnswer::NotCounted);
    if (!isCounted)
        return;
    votesReceived_.insert(from);
    if (!hasVoteQuorum())
        return;
    if (body.isPreVote_)
        startElection(false);
    else
        becomeLeader();
}

auto LogCore::becomeLeader() -> void
{
    role_ = ReplicaRole::Leader;
    noLeaderSinceStart_ = false;
    leader_ = self_.name_;
    becameLeaderAt_ = now_;
    peers_.clear();
    updatePeers();
    termStartIndex_ = appendAsLeader(RecordKind::NoOp, "").index_;
}

auto LogCore::becomeFollower(Term term, std::optional<EntryId> leader) -> void
{
    if (term > state_.term_) {
        state_.term_ = term;
        state_.votedFor_ = EntryId();
        markUnsynced();
    }
    if (role_ == ReplicaRole::Leader) {
        resetElectionTimer();
        ledUntil_ = now_;
    }
    role_ = ReplicaRole::Follower;
    leader_ = std::move(leader);
}

auto LogCore::stepDown(MonotonicTime now) -> void
{
    now_ = now;
    becomeFollower(state_.term_, std::nullopt);
    resetElectionTimer();
}

auto LogCore::quorumContactTime() const -> std::optional<MonotonicTime>
{
    auto contacts = std::vector<MonotonicTime>{};
    for (const auto &voter : log_.voters().voters_) {
        const auto *peer = findVoterPeer(voter);
        if (voter == self_)
            contacts.push_back(now_);
        else if (peer != nullptr && peer->lastContact_)
            contacts.push_back(*peer->lastContact_);
    }
    const auto quorum = log_.voters().quorum();
    if (contacts.size() < quorum)
        return std::nullopt;
    std::sort(contacts.rbegin(), contacts.rend());
    return contacts[quorum - 1];
}

auto LogCore::holdsLeaderLease(MonotonicTime now) const -> bool
{
    if (role_ != ReplicaRole::Leader || appliedIndex_ < termStartIndex_)
        return false;
    if (log_.voters().quorum() == 1 && isVoter())
        return true;
    // The lease is a tenth shorter than the time for which voters refuse votes, because their
    // clocks may run at different rates.
    const auto contact = quorumContactTime();
    return contact && now < *contact + settings_.electionTimeout_ * 9 / 10;
}

} // namespace lycheereach
