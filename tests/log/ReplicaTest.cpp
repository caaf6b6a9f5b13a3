#include "log/SimulatedCluster.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(Replica)
{
    std::unique_ptr<SimulatedCluster> cluster_;

    auto teardown()->void override
    {
        if (cluster_)
            STRCMP_EQUAL("", cluster_->violations().c_str());
        cluster_.reset();
    }

    /// Starts a cluster and returns its leader.
    auto startCluster(std::size_t nodes, std::size_t voters, std::uint64_t seed = 1)->std::size_t
    {
        cluster_ = std::make_unique<SimulatedCluster>(seed, nodes, voters);
        for (std::size_t i = 0; i < nodes; ++i)
            cluster_->start(i);
        const auto leader = cluster_->runUntilLeader();
        CHECK(leader.has_value());
        return *leader;
    }
    auto commit(std::size_t leader, std::size_t commands)->void
    {
        const auto before = cluster_->acknowledged();
        for (std::size_t i = 0; i < commands; ++i)
            CHECK(cluster_->propose(leader).ok());
        cluster_->run(200ms);
        CHECK_EQUAL(before + commands, cluster_->acknowledged());
    }
    auto name(std::size_t node)->EntryId
    {
        return cluster_->node(node).name_;
    }
};

TEST(Replica, theLeaderKilledAtEachStepOfACommit_restarted_losesNothingAcknowledged)
{
    auto completed = false;
    for (auto steps = 0; !completed; ++steps) {
        const auto leader = startCluster(3, 3, static_cast<std::uint64_t>(steps % 5 + 1));
        commit(leader, 9);
        cluster_->node(leader).stepsUntilCrash_ = steps;
        cluster_->propose(leader);
        cluster_->run(60ms);
        completed = cluster_->node(leader).replica_ != nullptr && cluster_->acknowledged() == 10;
        cluster_->crash(leader);
        cluster_->run(1s);
        cluster_->heal();
        STRCMP_EQUAL("", cluster_->violations().c_str());
        CHECK(steps < 100);
    }
}

TEST(Replica, aFollowerKilledAtEachStepOfACommit_restarted_losesNothingAcknowledged)
{
    for (auto steps = 0; steps < 12; ++steps) {
        const auto leader = startCluster(3, 3);
        const auto follower = (leader + 1) % 3;
        commit(leader, 9);
        cluster_->node(follower).stepsUntilCrash_ = steps;
        cluster_->propose(leader);
        cluster_->run(60ms);
        cluster_->crash(leader);
        cluster_->heal();
        STRCMP_EQUAL("", cluster_->violations().c_str());
    }
}

TEST(Replica, aVoterThatLostItsDisk_startsElectionAndVotes_isNotCounted)
{
    const auto leader = startCluster(3, 3);
    const auto lost = (leader + 1) % 3;
    commit(leader, 3);
    cluster_->loseDisk(lost);
    cluster_->start(lost);
    cluster_->run(1s);
    CHECK(cluster_->replicasAgree());
    cluster_->crash(leader);
    cluster_->crash((leader + 2) % 3);
    cluster_->run(3s);
    CHECK(cluster_->replica(lost).role() == ReplicaRole::Learner);
    cluster_->start((leader + 2) % 3);
    CHECK(!cluster_->runUntilLeader().has_value());
    cluster_->start(leader);
    CHECK(cluster_->runUntilLeader().has_value());
}

TEST(Replica, aVoterThatLostItsDisk_removedAndAdded_votesAgain)
{
    const auto leader = startCluster(3, 3);
    const auto lost = (leader + 1) % 3;
    commit(leader, 30);
    cluster_->loseDisk(lost);
    cluster_->start(lost);
    cluster_->run(1s);
    CHECK(cluster_->replica(lost).commitIndex() > 30);
    CHECK(cluster_->changeVoters(leader, name(lost), std::nullopt).failure().code_
          == Error::Conflict);
    CHECK(cluster_->changeVoters(leader, name(lost), name(lost)).failure().code_
          == Error::InvalidArgument);
    CHECK(cluster_->changeVoters(leader, std::nullopt, name(lost)).ok());
    CHECK(cluster_->changeVoters(leader, name(lost), std::nullopt).failure().code_
          == Error::Conflict);
    cluster_->run(200ms);
    CHECK(cluster_->changeVoters(leader, name(lost), std::nullopt).ok());
    cluster_->run(200ms);
    cluster_->crash(leader);
    CHECK(cluster_->runUntilLeader().has_value());
}

TEST(Replica, twoOfThreeDisksLost_started_foundNoSecondCluster)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 2);
    for (const auto lost : {(leader + 1) % 3, (leader + 2) % 3}) {
        cluster_->loseDisk(lost);
        cluster_->start(lost);
    }
    cluster_->run(5s);
    CHECK(!cluster_->leaseHolder().has_value());
}

TEST(Replica, aNodeIsolatedOverManyChanges_reconnected_keepsTheTermAndCatchesUp)
{
    const auto leader = startCluster(3, 3);
    const auto isolatedNode = (leader + 1) % 3;
    cluster_->isolate(isolatedNode);
    for (auto round = 0; round < 10; ++round)
        commit(leader, 20);
    cluster_->run(20s);
    const auto term = cluster_->replica(leader).term();
    cluster_->reconnectAll();
    cluster_->run(2s);
    CHECK_EQUAL(term, cluster_->replica(leader).term());
    CHECK(cluster_->replicasAgree());
    CHECK(cluster_->events_.contains(EventNumber::SnapshotInstalled));
}

TEST(Replica, anOldCopyOfADisk_restored_catchesUp)
{
    const auto leader = startCluster(3, 3);
    const auto restored = (leader + 1) % 3;
    commit(leader, 3);
    const auto copy = cluster_->node(restored).disk_->durable_;
    for (auto round = 0; round < 5; ++round)
        commit(leader, 20);
    cluster_->crash(restored);
    cluster_->node(restored).disk_->durable_ = copy;
    cluster_->start(restored);
    cluster_->run(2s);
    CHECK(cluster_->leaseHolder() == leader);
    CHECK(cluster_->replicasAgree());
}

TEST(Replica, aLeaderIsolatedWithProposals_reconnected_seesThemReplaced)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    cluster_->isolate(leader);
    const auto lost = cluster_->propose(leader);
    cluster_->run(2s);
    CHECK(cluster_->replica(leader).role() != ReplicaRole::Leader);
    CHECK(cluster_->propose(leader).failure().code_ == Error::NotLeader);
    const auto next = cluster_->runUntilLeader();
    commit(*next, 2);
    cluster_->heal();
    const auto records = cluster_->replica(leader).recordsFrom(lost->index_, 1);
    CHECK(records.needsSnapshot_ || records.records_[0].position() != *lost);
    CHECK_EQUAL(5U, cluster_->acknowledged());
}

TEST(Replica, aLeaderPausedAcrossAnElection_resumed_holdsNoLeaseAndStepsDown)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    cluster_->node(leader).paused_ = true;
    cluster_->run(180ms);
    CHECK(!cluster_->replica(leader).holdsLeaderLease(cluster_->now(leader)));
    cluster_->run(2s);
    const auto next = cluster_->leaseHolder();
    CHECK(next.has_value() && *next != leader);
    commit(*next, 3);
    cluster_->node(leader).paused_ = false;
    cluster_->propose(leader);
    cluster_->run(1s);
    CHECK(cluster_->replica(leader).role() == ReplicaRole::Follower);
    CHECK_EQUAL(6U, cluster_->acknowledged());
}

TEST(Replica, aFailedSync_onTheLeader_anotherReplicaTakesOver)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    cluster_->node(leader).disk_->syncFails_ = true;
    cluster_->propose(leader);
    cluster_->run(50ms);
    CHECK(cluster_->replica(leader).diskFailed());
    CHECK(cluster_->propose(leader).failure().code_ == Error::DiskFailed);
    CHECK(cluster_->events_.contains(EventNumber::DiskFailed));
    const auto next = cluster_->runUntilLeader();
    CHECK(next.has_value() && *next != leader);
    cluster_->crash((leader + 1) % 3);
    cluster_->run(3s);
    CHECK(!cluster_->leaseHolder().has_value());
}

// Guards against an outage of which no log tells who the voters are and which of them answer.
TEST(Replica, twoOfThreeVotersGone_run_reportsNoLeaderAndWhatEachVoterAnswered)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    const auto left = (leader + 1) % 3;
    cluster_->events_.clear();
    cluster_->crash(leader);
    cluster_->crash((leader + 2) % 3);
    cluster_->run(500ms);
    CHECK(!cluster_->events_.contains(EventNumber::LeaderMissing));
    cluster_->run(500ms);
    CHECK(cluster_->events_.contains(EventNumber::LeaderMissing));
    const auto &attributes = cluster_->events_.at(EventNumber::LeaderMissing).attributes_;
    auto expected = std::string{};
    for (std::size_t node = 0; node < 3; ++node)
        expected
            += (node == 0 ? "" : " ") + name(node).text() + (node == left ? "=self" : "=silent");
    STRCMP_EQUAL(expected.c_str(), attributes.at("voters").c_str());
    STRCMP_EQUAL("candidate", attributes.at("role").c_str());
}

/// As above, on the leader itself: its own lead counts until it ends.
TEST(Replica, aLeaderWhoseFollowersAreGone_run_reportsNoLeaderFromItsOwnEndOn)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    cluster_->run(2s);
    cluster_->events_.clear();
    cluster_->crash((leader + 1) % 3);
    cluster_->crash((leader + 2) % 3);
    cluster_->run(500ms);
    CHECK(cluster_->events_.contains(EventNumber::LeaderLost));
    CHECK(!cluster_->events_.contains(EventNumber::LeaderMissing));
    cluster_->run(700ms);
    CHECK(cluster_->events_.contains(EventNumber::LeaderMissing));
}

TEST(Replica, aVoterThatHeardFromTheLeader_isAskedForItsVote_reportsWhyItRefused)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    const auto cutOff = (leader + 1) % 3;
    cluster_->isolate(cutOff);
    cluster_->run(2s);
    cluster_->events_.clear();
    cluster_->crash(leader);
    cluster_->run(20ms);
    cluster_->reconnectAll();
    cluster_->run(200ms);
    CHECK(cluster_->events_.contains(EventNumber::VoteRefused));
    const auto &attributes = cluster_->events_.at(EventNumber::VoteRefused).attributes_;
    STRCMP_EQUAL(name(cutOff).text().c_str(), attributes.at("entry").c_str());
    STRCMP_EQUAL("it heard from a leader or started within an election timeout",
                 attributes.at("reason").c_str());
}

// Guards against a voter that stays out after a failed write although its disk works again: after a
// majority of them no change was accepted any more, with all processes running.
TEST(Replica, eachDiskFailedForAMomentInTurn_propose_isCommittedAndAllAgree)
{
    startCluster(3, 3);
    for (std::size_t node = 0; node < 3; ++node) {
        const auto leader = cluster_->runUntilLeader();
        CHECK(leader.has_value());
        cluster_->node(node).disk_->syncFails_ = true;
        CHECK(cluster_->propose(*leader).ok());
        cluster_->run(300ms);
        CHECK(cluster_->replica(node).diskFailed());
        cluster_->node(node).disk_->syncFails_ = false;
        cluster_->run(4s);
        CHECK(!cluster_->replica(node).diskFailed());
    }
    CHECK(cluster_->events_.contains(EventNumber::DiskRecovered));
    commit(*cluster_->runUntilLeader(), 20);
    CHECK(cluster_->replicasAgree());
}

// As above, where the disk was full when a snapshot of the leader was to be installed.
TEST(Replica, eachDiskFullWhileASnapshotIsInstalledInTurn_propose_isCommittedAndAllAgree)
{
    startCluster(3, 3);
    for (std::size_t node = 0; node < 3; ++node) {
        cluster_->isolate(node);
        cluster_->run(1s);
        commit(*cluster_->runUntilLeader(), 40);
        cluster_->node(node).disk_->snapshotFails_ = true;
        cluster_->reconnectAll();
        cluster_->run(1s);
        cluster_->node(node).disk_->snapshotFails_ = false;
        cluster_->run(4s);
        CHECK(!cluster_->replica(node).diskFailed());
    }
    commit(*cluster_->runUntilLeader(), 20);
    CHECK(cluster_->replicasAgree());
}

// Guards against a recovery that drops records which were acknowledged before the write failed.
TEST(Replica, aFailedDisk_restartedAfterItRecovered_hasLostNothing)
{
    const auto leader = startCluster(3, 3);
    const auto follower = (leader + 1) % 3;
    commit(leader, 20);
    cluster_->node(follower).disk_->syncFails_ = true;
    commit(leader, 5);
    cluster_->node(follower).disk_->syncFails_ = false;
    cluster_->run(2s);
    cluster_->crash(leader);
    cluster_->crash(follower);
    cluster_->start(follower);
    const auto next = cluster_->runUntilLeader();
    CHECK(next.has_value() && *next != leader);
    commit(*next, 3);
}

// Guards against changes that are refused as long as the disk of the leader is full, although a
// majority of the voters has space.
TEST(Replica, aFullDiskOfTheLeader_propose_isCommittedByTheOthers)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    cluster_->node(leader).disk_->full_ = true;
    cluster_->run(100ms);
    commit(leader, 20);
    CHECK(cluster_->events_.contains(EventNumber::DiskFull));
    cluster_->node(leader).disk_->full_ = false;
    cluster_->run(500ms);
    CHECK(cluster_->replicasAgree());
    CHECK(cluster_->events_.contains(EventNumber::DiskHasSpace));
}

// Guards against a commit that counts records which the full disk of the leader does not hold.
TEST(Replica, aLeaderKilledWhileItsDiskIsFull_restarted_losesNothingAcknowledged)
{
    const auto leader = startCluster(3, 3);
    cluster_->node(leader).disk_->full_ = true;
    cluster_->run(100ms);
    commit(leader, 20);
    cluster_->crash(leader);
    cluster_->node(leader).disk_->full_ = false;
    cluster_->start(leader);
    cluster_->heal();
    CHECK_EQUAL(20U, cluster_->acknowledged());
}

// Guards against a leader that steps down for its full disk although no other one could commit: no
// process would hold a lease then.
TEST(Replica, aFullDiskOfTheLeaderWhileAVoterIsDown_propose_isRefusedWhileTheLeaseIsRenewed)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    cluster_->crash((leader + 1) % 3);
    cluster_->node(leader).disk_->full_ = true;
    cluster_->run(300ms);
    CHECK(cluster_->propose(leader).failure().code_ == Error::DiskFull);
    cluster_->run(15s);
    CHECK(cluster_->leaseHolder() == leader);
    cluster_->node(leader).disk_->full_ = false;
    cluster_->run(100ms);
    commit(leader, 3);
}

// Guards against a leader that holds ever more records in memory while its disk is full.
TEST(Replica, aDiskOfTheLeaderFullForLong_anotherReplicaTakesOver)
{
    const auto leader = startCluster(3, 3);
    cluster_->node(leader).disk_->full_ = true;
    cluster_->run(9s);
    CHECK(cluster_->leaseHolder() == leader);
    cluster_->run(2s);
    const auto next = cluster_->leaseHolder();
    CHECK(next.has_value() && *next != leader);
    commit(*next, 3);
}

TEST(Replica, fullDisks_propose_refusedWhileTheLeaseIsRenewed)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 3);
    for (std::size_t i = 0; i < 3; ++i)
        cluster_->node(i).disk_->full_ = true;
    cluster_->run(100ms);
    CHECK(cluster_->propose(leader).failure().code_ == Error::DiskFull);
    cluster_->run(15s);
    CHECK(cluster_->leaseHolder() == leader);
    for (std::size_t i = 0; i < 3; ++i)
        cluster_->node(i).disk_->full_ = false;
    cluster_->run(100ms);
    commit(leader, 3);
}

TEST(Replica, fullDisksOfTheFollowers_propose_isRefusedOnceTheyAreKnown)
{
    const auto leader = startCluster(3, 3);
    for (std::size_t i = 0; i < 3; ++i)
        cluster_->node(i).disk_->full_ = i != leader;
    CHECK(cluster_->propose(leader).ok());
    cluster_->run(100ms);
    CHECK(cluster_->propose(leader).failure().code_ == Error::DiskFull);
    CHECK(cluster_->leaseHolder() == leader);
    cluster_->heal();
    cluster_->run(500ms);
    CHECK_EQUAL(1U, cluster_->acknowledged());
}

TEST(Replica, proposalsBetweenTwoFlushes_flushed_shareOneSync)
{
    const auto leader = startCluster(1, 1);
    cluster_->run(100ms);
    const auto before = cluster_->node(leader).disk_->syncCount_;
    auto &replica = cluster_->replica(leader);
    for (auto i = 0; i < 5; ++i)
        CHECK(replica.propose("{}", cluster_->now(leader)).ok());
    replica.flush(cluster_->now(leader));
    CHECK_EQUAL(before + 1, cluster_->node(leader).disk_->syncCount_);
    CHECK_EQUAL(replica.lastIndex(), replica.commitIndex());
}

TEST(Replica, aLearner_added_getsRecordsAndDoesNotVote)
{
    const auto leader = startCluster(4, 3);
    commit(leader, 30);
    CHECK(cluster_->replica(3).role() == ReplicaRole::Learner);
    CHECK(cluster_->replicasAgree());
    const auto &snapshot = cluster_->replica(3).latestSnapshot();
    CHECK(snapshot.position_.index_ > 0);
    CHECK(cluster_->replica(3).recordsFrom(1, 1).needsSnapshot_);
    CHECK_EQUAL(1U, cluster_->replica(3).recordsFrom(snapshot.position_.index_, 1).records_.size());
    cluster_->crash((leader + 1) % 3);
    cluster_->crash((leader + 2) % 3);
    cluster_->run(3s);
    CHECK(!cluster_->leaseHolder().has_value());
}

TEST(Replica, aLeaderRemovedFromTheVoters_committed_stepsDown)
{
    const auto leader = startCluster(3, 3);
    CHECK(cluster_->changeVoters(leader, std::nullopt, name(leader)).ok());
    cluster_->run(1s);
    CHECK(cluster_->replica(leader).role() == ReplicaRole::Learner);
    CHECK(cluster_->leaseHolder().has_value());
}

TEST(Replica, aDataFolderOfAnotherReplica_opened_isRefused)
{
    startCluster(1, 1);
    cluster_->node(0).disk_->durable_.identity_->name_ = EntryId("other");
    auto settings = ReplicaSettings{};
    settings.self_ = name(0);
    auto replica = Replica(settings, std::make_unique<MemoryStorage>(cluster_->node(0).disk_), {});
    CHECK(replica.open(cluster_->now(0)).failure().code_ == Error::InvalidArgument);
}

/// Guards against a long outage after all voters are killed at once and restart within a second:
/// they must elect a leader without waiting for the election timeout. Split votes, after which the
/// timeouts apply, must be rare.
TEST(Replica, allVotersRestarted_elect_withoutWaitingForTheOldLease)
{
    constexpr auto restartCount = 40;
    constexpr auto maximumSplitVotes = restartCount / 10;
    auto splitVotes = 0;
    for (auto seed = std::uint64_t{1}; seed <= restartCount; ++seed) {
        const auto leader = startCluster(3, 3, seed);
        commit(leader, 5);
        for (std::size_t i = 0; i < 3; ++i)
            cluster_->crash(i);
        // No message of the old leader is under way any more.
        cluster_->run(300ms);
        for (std::size_t i = 0; i < 3; ++i)
            cluster_->start(i);
        // The election timeout is 200 ms, and up to twice as long with its random part.
        cluster_->run(190ms);
        splitVotes += cluster_->leaseHolder().has_value() ? 0 : 1;
        STRCMP_EQUAL("", cluster_->violations().c_str());
    }
    CHECK(splitVotes <= maximumSplitVotes);
}

/// Guards against two leases: most voters restart while the isolated leader still holds its lease.
TEST(Replica, allVotersButTheLeaderRestarted_elect_onlyAfterItsLeaseExpired)
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        const auto leader = startCluster(3, 3, seed);
        commit(leader, 5);
        cluster_->isolate(leader);
        for (const auto other : {(leader + 1) % 3, (leader + 2) % 3}) {
            cluster_->crash(other);
            cluster_->start(other);
        }
        cluster_->run(190ms);
        CHECK(!cluster_->leaseHolder().has_value() || cluster_->leaseHolder() == leader);
        cluster_->run(2s);
        CHECK(cluster_->leaseHolder().has_value() && cluster_->leaseHolder() != leader);
        STRCMP_EQUAL("", cluster_->violations().c_str());
    }
}

/// Guards against two leases after a power loss of all voters in which one loses its disk: its vote
/// no longer counts, and the others cannot know whether it still leads.
TEST(Replica, allVotersRestartedAndOneLostItsDisk_elect_afterATimeout)
{
    const auto leader = startCluster(3, 3);
    commit(leader, 5);
    for (std::size_t i = 0; i < 3; ++i)
        cluster_->crash(i);
    cluster_->loseDisk(leader);
    cluster_->run(300ms);
    for (std::size_t i = 0; i < 3; ++i)
        cluster_->start(i);
    cluster_->run(190ms);
    CHECK(!cluster_->leaseHolder().has_value());
    cluster_->run(2s);
    CHECK(cluster_->leaseHolder().has_value());
    STRCMP_EQUAL("", cluster_->violations().c_str());
}
