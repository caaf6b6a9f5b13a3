#include "control/ControlFleet.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(Membership)
{
    auto startAll()->void
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        fleet_.run(10s);
    }

    auto incarnationOf(std::size_t node)->Incarnation
    {
        const auto id = fleet_.node(node).self_.id_;
        return fleet_.service(*fleet_.leader()).readState([&](const FleetState &state) {
            return state.entries_.at(id).incarnation_;
        });
    }

    ControlFleet fleet_ = ControlFleet(1, 3, 2);
};

TEST(Membership, aHealthyFleet_running_losesNoEntry)
{
    startAll();
    fleet_.run(30s);
    for (std::size_t index = 0; index < fleet_.size(); ++index)
        CHECK(fleet_.phaseOf(index) == EntryPhase::Live);
}

TEST(Membership, aStoppedEntry_restartedAfterItIsLost_hasANewIncarnation)
{
    startAll();
    const auto before = incarnationOf(4);
    fleet_.stop(4);
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Lost; }, 15s));
    fleet_.start(4);
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Live; }, 5s));
    CHECK(incarnationOf(4) > before);
}

TEST(Membership, aFrozenEntry_resumedAfterItIsLost_hasANewIncarnation)
{
    startAll();
    const auto before = incarnationOf(4);
    fleet_.node(4).frozen_ = true;
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Lost; }, 15s));
    fleet_.node(4).frozen_ = false;
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Live; }, 5s));
    CHECK(incarnationOf(4) > before);
    CHECK(fleet_.service(4).incarnation() == incarnationOf(4));
    STRCMP_EQUAL("", fleet_.violations().c_str());
}

TEST(Membership, aStoppedRelay_isLost_andItsEntriesKeepWorking)
{
    startAll();
    const auto relay = (*fleet_.leader() + 1) % 3;
    fleet_.stop(relay);
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(relay) == EntryPhase::Lost; }, 15s));
    fleet_.run(5s);
    for (std::size_t index = 3; index < fleet_.size(); ++index)
        CHECK(fleet_.phaseOf(index) == EntryPhase::Live);
    CHECK(fleet_.service(4).mayTakeWork());
    fleet_.start(relay);
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(relay) == EntryPhase::Live; }, 5s));
}

TEST(Membership, aChangeOfVoters_requestedFromANonLeader_isRefusedWithTheLeadersAddress)
{
    startAll();
    const auto leader = *fleet_.leader();
    const auto address = fleet_.node(leader).self_.address_;
    for (const auto other : {(leader + 1) % 3, std::size_t{4}}) {
        const auto result
            = fleet_.service(other).changeVoters(std::nullopt, EntryId("e0"), nullptr);
        CHECK(!result);
        CHECK(result.failure().code_ == Error::NotLeader);
        CHECK(result.failure().verdict_ == Verdict::NotRun);
        CHECK(result.failure().message_.find(address) != std::string::npos);
    }
}

TEST(Membership, anEntry_leaves_isRegisteredAsLeaving)
{
    startAll();
    fleet_.service(4).registerAsLeaving();
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Leaving; }, 2s));
    fleet_.run(10s);
    CHECK(fleet_.phaseOf(4) == EntryPhase::Leaving);
}

TEST(Membership, aStoppedEntry_shortSilenceLimit_isLostSoonAfterItsLease)
{
    fleet_.settings_.entryLostTimeout_ = 3200ms;
    startAll();
    fleet_.stop(4);
    const auto stoppedAt = fleet_.now();
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Lost; }, 15s));
    CHECK(fleet_.now() - stoppedAt > 3s);
    // Added to the limit: the time for which a relay still reports the entry, and the interval
    // between two renewals of the relay.
    CHECK(fleet_.now() - stoppedAt < 3200ms + 1s + 700ms);
}

/// Guards against callers that are sent to a dark entry for twice the time: an entry that was lost
/// with the leader was timed from one wait after the election on.
TEST(Membership, anEntryAndTheLeaderAreLostTogether_isLostOneLimitAfterTheElection)
{
    fleet_.settings_.entryLostTimeout_ = 3500ms;
    startAll();
    const auto leader = *fleet_.leader();
    fleet_.stop(leader);
    fleet_.stop(4);
    CHECK(fleet_.runUntil([&] { return fleet_.leader() && *fleet_.leader() != leader; }, 5s));
    const auto electedAt = fleet_.now();
    CHECK(fleet_.runUntil([&] { return fleet_.phaseOf(4) == EntryPhase::Lost; }, 15s));
    CHECK(fleet_.now() - electedAt < 3500ms + 500ms);
    for (std::size_t index = 0; index < fleet_.size(); ++index)
        CHECK(index == 4 || index == leader || fleet_.phaseOf(index) == EntryPhase::Live);
}

TEST(Membership, entriesWithoutALease_allProcessesRestart_renewAtTheShorterInterval)
{
    fleet_.settings_.renewalIntervalWithoutLease_ = 100ms;
    startAll();
    for (std::size_t index = 0; index < fleet_.size(); ++index)
        fleet_.stop(index);
    for (std::size_t index = 0; index < fleet_.size(); ++index)
        fleet_.start(index);
    CHECK(fleet_.runUntil([&] { return fleet_.leader().has_value(); }, 15s));
    const auto electedAt = fleet_.now();
    CHECK(fleet_.runUntilReady());
    CHECK(fleet_.now() - electedAt < 400ms);
}

TEST(Membership, theLeaderIsCutFromTheOtherVoters_entriesKeepTheirLease)
{
    startAll();
    const auto leader = *fleet_.leader();
    fleet_.dropsMessage_ = [leader](std::size_t from, std::size_t to, const std::string &) {
        const auto isVoter = [](std::size_t node) { return node < 3; };
        return isVoter(from) && isVoter(to) && (from == leader || to == leader);
    };
    const auto end = fleet_.now() + 12s;
    while (fleet_.now() < end) {
        fleet_.run(50ms);
        CHECK(fleet_.service(3).mayTakeWork());
        CHECK(fleet_.service(4).mayTakeWork());
    }
    STRCMP_EQUAL("", fleet_.violations().c_str());
}

/// Guards against entries that renew with the old leader alone: it is cut off from the other
/// voters but still reaches the entries, so they would not receive changes.
TEST(Membership, theLeaderIsCutFromTheOtherVoters_entriesThatRenewInTurnHearOfChangesAtOnce)
{
    for (auto seed = std::uint64_t{1}; seed <= 8; ++seed) {
        auto fleet = ControlFleet(seed, 3, 2);
        fleet.settings_.grantorsInRotation_ = 2;
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.start(index);
        CHECK(fleet.runUntilReady());
        fleet.run(10s);
        const auto old = *fleet.leader();
        fleet.dropsMessage_ = [old](std::size_t from, std::size_t to, const std::string &) {
            return from < 3 && to < 3 && (from == old || to == old);
        };
        const auto applied = [&](std::size_t node) {
            return fleet.service(node).readState(
                [](const FleetState &state) { return state.applied_; });
        };
        const auto others = std::pair((old + 1) % 3, (old + 2) % 3);
        const auto before = applied(old);
        CHECK(fleet.runUntil(
            [&] { return applied(others.first) > before && applied(others.second) > before; }));
        const auto operation = fleet.proposeDeclaration(others.first);
        CHECK(fleet.runUntil([&] { return fleet.outcomes_.contains(operation); }, 2s));
        fleet.run(300ms);
        CHECK(applied(3) >= applied(others.first));
        CHECK(applied(4) >= applied(others.first));
        STRCMP_EQUAL("", fleet.violations().c_str());
    }
}
