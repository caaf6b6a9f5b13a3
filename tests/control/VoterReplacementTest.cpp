#include "control/ControlFleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(VoterReplacement)
{
    /// Starts \a voters control processes, or one for each of \a zones, and waits until they serve.
    auto start(std::uint64_t seed, std::size_t voters, const std::vector<std::string> &zones = {})
        ->void
    {
        fleet_ = std::make_unique<ControlFleet>(seed, std::max(voters, zones.size()), 0);
        for (std::size_t index = 0; index < zones.size(); ++index)
            fleet_->node(index).self_.zone_ = ZoneName(zones[index]);
        auto &settings = fleet_->settings_;
        settings.targetVoterCount_ = voters;
        settings.stateLeaseDuration_ = 2500ms;
        settings.renewalIntervalWithoutLease_ = 150ms;
        settings.entryLostTimeout_ = 3500ms;
        settings.registrationInterval_ = 1500ms;
        settings.logHeartbeatInterval_ = 250ms;
        settings.logElectionTimeout_ = 1400ms;
        for (std::size_t index = 0; index < fleet_->size(); ++index)
            fleet_->start(index);
        CHECK(fleet_->runUntilReady());
        fleet_->run(3s);
    }
    auto teardown()->void override
    {
        fleet_.reset();
    }

    auto voters()->std::vector<EntryId>
    {
        const auto leader = fleet_->leader();
        return leader ? fleet_->service(*leader).status().voters_ : std::vector<EntryId>{};
    }

    auto isVoter(std::size_t node)->bool
    {
        const auto all = voters();
        return std::find(all.begin(), all.end(), fleet_->node(node).self_.id_) != all.end();
    }

    /// The changes of the voters that leaders propose from now on, in their order.
    auto recordProposedChanges()->void
    {
        fleet_->event_ = [this](const Event &event) {
            if (event.number_ == EventNumber::VoterChangeProposed)
                proposed_.push_back(event.attributes_);
        };
    }

    /// Ends \a node for good and starts an empty process in its place; returns that one's index.
    auto replace(std::size_t node)->std::size_t
    {
        fleet_->stop(node);
        fleet_->run(1s);
        const auto successor = fleet_->addControlNode();
        fleet_->start(successor);
        return successor;
    }

    std::unique_ptr<ControlFleet> fleet_;
    std::vector<std::map<std::string, std::string>> proposed_;
};

/// Guards against a dead voter that stays one until its entry is marked as lost, by when another
/// machine may be lost as well.
TEST(VoterReplacement, aVoterIsReplaced_itsSuccessorHasCaughtUp_votesInItsPlace)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        start(seed, 3);
        const auto leader = *fleet_->leader();
        const auto lost = seed % 2 == 0 ? leader : (leader + 1) % 3;
        const auto successor = replace(lost);
        CHECK(fleet_->runUntil([&] { return isVoter(successor) && !isVoter(lost); }, 4s));
        LONGS_EQUAL(3, voters().size());
        STRCMP_EQUAL("", fleet_->violations().c_str());
    }
}

/// Guards against a successor that is not the first in the order of ids, behind one that is dead.
TEST(VoterReplacement, theFirstSuccessorIsDead_another_votesInItsPlace)
{
    start(1, 3);
    const auto lost = (*fleet_->leader() + 1) % 3;
    const auto dead = fleet_->addControlNode();
    fleet_->start(dead);
    CHECK(fleet_->runUntil([&] { return fleet_->phaseOf(dead) == EntryPhase::Live; }, 4s));
    fleet_->stop(dead);
    fleet_->run(1500ms);
    const auto successor = replace(lost);
    CHECK(fleet_->runUntil([&] { return isVoter(successor) && !isVoter(lost); }, 4s));
    CHECK_FALSE(isVoter(dead));
}

/// Guards against a replaced voter that is not let in again although another one has been lost.
TEST(VoterReplacement, aVoterThatWasCutOffAndReplacedReturns_andAnotherIsLost_votesAgain)
{
    start(1, 3);
    const auto leader = *fleet_->leader();
    const auto cutOff = (leader + 1) % 3;
    const auto spare = fleet_->addControlNode();
    fleet_->start(spare);
    fleet_->run(1s);
    fleet_->isolatedNodes_.insert(cutOff);
    CHECK(fleet_->runUntil([&] { return isVoter(spare) && !isVoter(cutOff); }, 4s));
    fleet_->isolatedNodes_.clear();
    fleet_->run(4s);
    fleet_->stop((leader + 2) % 3);
    CHECK(fleet_->runUntil([&] { return isVoter(cutOff); }, 4s));
    STRCMP_EQUAL("", fleet_->violations().c_str());
}

/// Guards against an empty process that never reaches the leader, since none of its seeds leads and
/// what they answer is not followed.
TEST(VoterReplacement, anEmptyProcessWhoseSeedsDoNotLead_started_isRegisteredAndCaughtUp)
{
    start(1, 5);
    const auto leader = *fleet_->leader();
    const auto lost = (leader + 1) % 5;
    fleet_->stop(lost);
    const auto successor = fleet_->addControlNode();
    std::erase(fleet_->node(successor).seeds_, fleet_->node(leader).self_.id_);
    fleet_->start(successor);
    CHECK(fleet_->runUntil([&] { return isVoter(successor) && !isVoter(lost); }, 4s));
}

/// Guards against a change of voters of which no log tells the zones and the reason.
TEST(VoterReplacement, aVoterIsReplaced_proposed_isReportedWithItsZoneAndTheReason)
{
    start(1, 3);
    const auto lost = (*fleet_->leader() + 1) % 3;
    recordProposedChanges();
    const auto successor = replace(lost);
    CHECK(fleet_->runUntil([&] { return isVoter(successor) && !isVoter(lost); }, 4s));
    CHECK(proposed_.size() >= 2);
    const auto &removal = proposed_.front();
    const auto &lostRecord = fleet_->node(lost).self_;
    STRCMP_EQUAL(lostRecord.id_.text().c_str(), removal.at("entry").c_str());
    STRCMP_EQUAL(lostRecord.zone_.text().c_str(), removal.at("zone").c_str());
    STRCMP_EQUAL("remove", removal.at("change").c_str());
    STRCMP_EQUAL("it leaves heartbeats unanswered", removal.at("reason").c_str());
    const auto &addition = proposed_.back();
    const auto &successorRecord = fleet_->node(successor).self_;
    STRCMP_EQUAL(successorRecord.id_.text().c_str(), addition.at("entry").c_str());
    STRCMP_EQUAL("add", addition.at("change").c_str());
    const auto standing = successorRecord.zone_.text() + "=" + successorRecord.id_.text();
    STRCMP_CONTAINS(standing.c_str(), addition.at("voters").c_str());
}

/// Guards against a silent voter that is removed and at once added again, as if it were ready,
/// while its successor waits.
TEST(VoterReplacement, aVoterIsReplaced_proposed_takesTwoChanges)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        start(seed, 3);
        proposed_.clear();
        recordProposedChanges();
        const auto lost = (*fleet_->leader() + 1) % 3;
        const auto successor = replace(lost);
        CHECK(fleet_->runUntil([&] { return isVoter(successor) && !isVoter(lost); }, 4s));
        LONGS_EQUAL(2, proposed_.size());
    }
}

/// Guards against restarts that cost more changes of the voters than the move of a vote and back.
TEST(VoterReplacement, fiveProcessesInThreeZonesRestartInTurn_run_takesAtMostFourChangesEach)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        start(seed, 3, {"a", "b", "c", "a", "b"});
        fleet_->run(10s);
        recordProposedChanges();
        for (std::size_t node = 0; node < fleet_->size(); ++node) {
            proposed_.clear();
            fleet_->stop(node);
            fleet_->run(3s);
            fleet_->start(node);
            fleet_->run(10s);
            CHECK(proposed_.size() <= 4);
        }
        STRCMP_EQUAL("", fleet_->violations().c_str());
    }
}
