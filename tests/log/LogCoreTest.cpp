#include "log/LogCore.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(LogCore)
{
    MonotonicTime now_ = MonotonicTime(100s);
    std::unique_ptr<LogCore> core_;

    auto teardown()->void override
    {
        core_.reset();
    }

    /// Creates voter `a` of five in term 3, with a last record of term 2 and an expired vote
    /// refusal.
    auto createVoter()->void
    {
        auto voters = VoterSet{};
        for (const auto *name : {"a", "b", "c", "d", "e"})
            voters = voters.with({EntryId(name), 1});
        auto stored = StoredLog{};
        stored.identity_ = VoterIdentity{EntryId("a"), 1};
        stored.state_ = {3, EntryId(), "cluster", 1};
        stored.records_ = {{1, 1, RecordKind::Voters, toPayload(voters)},
                           {2, 2, RecordKind::StateCommand, "old"}};
        auto settings = ReplicaSettings{};
        settings.self_ = EntryId("a");
        core_ = std::make_unique<LogCore>(
            settings, stored, [] { return 0; }, now_);
        now_ += 2 * settings.electionTimeout_;
        completeSyncs();
    }
    auto receive(const char *from, Term term, LogMessageBody body)->void
    {
        core_->receive(EntryId(from), {"cluster", 1, term, std::move(body)}, now_);
    }
    auto completeSyncs()->void
    {
        for (auto actions = core_->takeActions(); !actions.empty();
             actions = core_->takeActions()) {
            for (const auto &action : actions) {
                if (const auto *sync = std::get_if<SyncWrites>(&action))
                    core_->onSynced(sync->lastIndex_);
            }
        }
    }
    auto winElection()->void
    {
        core_->tick(now_);
        completeSyncs();
        for (const auto preVote : {true, false}) {
            for (const auto *voter : {"b", "c"})
                receive(voter, 4, VoteReply{preVote, true});
            completeSyncs();
        }
        CHECK(core_->role() == ReplicaRole::Leader);
    }
};

TEST(LogCore, recordsOfAnOlderTermOnAMajority_counted_areNotCommitted)
{
    createVoter();
    winElection();
    for (const auto *voter : {"b", "c"})
        receive(voter, 4, AppendReply{true, 0, 2, 0, false});
    CHECK_EQUAL(1U, core_->state().commitIndex_);
    for (const auto *voter : {"b", "c"})
        receive(voter, 4, AppendReply{true, 2, 3, 0, false});
    CHECK_EQUAL(3U, core_->state().commitIndex_);
}

TEST(LogCore, aVoteInTheCurrentTerm_granted_isSyncedBeforeTheReply)
{
    createVoter();
    receive("b", 3, VoteRequest{false, {2, 2}});
    const auto actions = core_->takeActions();
    CHECK_EQUAL(3U, actions.size());
    CHECK(std::get<StageWrites>(actions[0]).state_.votedFor_ == EntryId("b"));
    CHECK(std::holds_alternative<SyncWrites>(actions[1]));
    CHECK(std::holds_alternative<SendMessage>(actions[2]));
}

TEST(LogCore, aVoteRequestSoonAfterAHeartbeat_received_isLeftUnanswered)
{
    createVoter();
    receive("b", 3, AppendRequest{{2, 2}, 1, 0, {}});
    completeSyncs();
    for (const auto preVote : {true, false}) {
        receive("c", 9, VoteRequest{preVote, {9, 8}});
        CHECK(core_->takeActions().empty());
    }
    CHECK_EQUAL(3U, core_->state().term_);
}

TEST(LogCore, aVoteRequestSoonAfterARestart_received_isLeftUnanswered)
{
    createVoter();
    now_ = MonotonicTime(100s) + ReplicaSettings{}.electionTimeout_ / 2;
    receive("c", 9, VoteRequest{false, {9, 8}});
    CHECK(core_->takeActions().empty());
}

/// Guards against a second election timeout without a leader: the others heard from the lost one a
/// little later, and so they leave the first pre-vote unanswered.
TEST(LogCore, aPreVoteWithoutAnswer_ticked_isRepeatedSoon)
{
    createVoter();
    receive("b", 3, AppendRequest{{2, 2}, 1, 0, {}});
    now_ += 2 * ReplicaSettings{}.electionTimeout_;
    core_->tick(now_);
    CHECK(core_->role() == ReplicaRole::PreCandidate);
    completeSyncs();
    now_ += ReplicaSettings{}.electionTimeout_ / 2;
    core_->tick(now_);
    CHECK_FALSE(core_->takeActions().empty());
}

/// Guards against another election timeout without a leader after a split vote.
TEST(LogCore, aVoteRefusedInTheSameTerm_received_standsAgainSoon)
{
    createVoter();
    core_->tick(now_);
    completeSyncs();
    for (const auto *voter : {"b", "c"})
        receive(voter, 4, VoteReply{true, true});
    CHECK(core_->role() == ReplicaRole::Candidate);
    completeSyncs();
    receive("b", 4, VoteReply{false, false});
    now_ += ReplicaSettings{}.electionTimeout_ / 2;
    core_->tick(now_);
    CHECK(core_->role() == ReplicaRole::PreCandidate);
}

/// Guards against a voter that is not known to be dead: the heartbeats of an election timeout
/// without an answer, or the first ones of a new leader, show it.
TEST(LogCore, aVoterThatLeavesHeartbeatsUnanswered_counted_isSilent)
{
    createVoter();
    winElection();
    const auto beat = [this] {
        now_ += ReplicaSettings{}.heartbeatInterval_;
        core_->tick(now_);
        completeSyncs();
        for (const auto *voter : {"b", "c", "d"})
            receive(voter, 4, AppendReply{true, 2, 3, now_.time_since_epoch().count(), false});
    };
    beat();
    beat();
    CHECK(core_->silentVoters() == std::set<EntryId>{EntryId("e")});
    receive("e", 4, AppendReply{true, 2, 3, now_.time_since_epoch().count(), false});
    CHECK(core_->silentVoters().empty());
    for (auto heartbeat = 0; heartbeat < 9; ++heartbeat)
        beat();
    CHECK(core_->silentVoters().empty());
    beat();
    CHECK(core_->silentVoters() == std::set<EntryId>{EntryId("e")});
}
