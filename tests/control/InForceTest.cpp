#include "control/ControlFleet.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

auto startAll(ControlFleet &fleet) -> void
{
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.start(index);
    CHECK(fleet.runUntilReady());
}

auto checkHealed(ControlFleet &fleet) -> void
{
    fleet.heal();
    CHECK(fleet.runUntilReady());
    CHECK(fleet.runUntil([&] { return fleet.allInForce(); }, 10s));
    STRCMP_EQUAL("", fleet.violations().c_str());
}

auto runSchedule(std::uint64_t seed) -> void
{
    constexpr auto events = 150;
    auto fleet = ControlFleet(seed, 3, 2);
    startAll(fleet);
    fleet.dropPercent_ = static_cast<unsigned>(seed % 3) * 5;
    fleet.duplicatePercent_ = static_cast<unsigned>(seed % 2) * 10;
    fleet.maximumDelay_ = seed % 4 == 0 ? 1500ms : 30ms;
    for (auto event = 0; event < events; ++event) {
        const auto node = fleet.random(fleet.size());
        if (fleet.node(node).service_ != nullptr)
            fleet.proposeDeclaration(node);
        if (fleet.random(4) == 0)
            fleet.randomFault();
        fleet.run(std::chrono::milliseconds(20 * (1 + fleet.random(30))));
    }
    checkHealed(fleet);
}

} // namespace

TEST_GROUP(InForce){};

TEST(InForce, anEntryBehindAnOperationInForce_randomFaults_takesNoWork)
{
    constexpr auto schedules = std::uint64_t{60};
    for (auto seed = std::uint64_t{1}; seed <= schedules; ++seed)
        runSchedule(seed);
}

TEST(InForce, anOperation_allEntriesReachable_isInForceWithinTwoSeconds)
{
    auto fleet = ControlFleet(1, 3, 2);
    startAll(fleet);
    fleet.run(10s);
    fleet.proposeDeclaration(4);
    CHECK(fleet.runUntil([&] { return fleet.outcomes_.size() == 1; }, 1s));
    CHECK(fleet.runUntil([&] { return fleet.allInForce(); }, 2s));
    STRCMP_EQUAL("", fleet.violations().c_str());
}

TEST(InForce, anOperation_anEntryIsFrozen_isInForceOnlyAfterItsLeaseExpires)
{
    auto fleet = ControlFleet(2, 3, 2);
    startAll(fleet);
    fleet.run(10s);
    fleet.node(4).frozen_ = true;
    fleet.proposeDeclaration(*fleet.leader());
    fleet.run(1s);
    CHECK(!fleet.allInForce());
    CHECK(fleet.runUntil([&] { return fleet.allInForce(); }, 4s));
    fleet.node(4).frozen_ = false;
    checkHealed(fleet);
}

TEST(InForce, aNewLeader_oldLeaderCutOff_countsTheOldLeadersLeases)
{
    auto fleet = ControlFleet(3, 3, 2);
    startAll(fleet);
    fleet.run(10s);
    const auto old = *fleet.leader();
    fleet.isolatedNodes_.insert(old);
    CHECK(fleet.runUntil([&] { return fleet.leader() && fleet.leader() != old; }));
    fleet.proposeDeclaration(*fleet.leader());
    CHECK(fleet.runUntil([&] { return fleet.allInForce(); }, 6s));
    checkHealed(fleet);
}

TEST(InForce, aRelay_cutOffFromTheLeader_grantsNoLongerThanItsOwnLease)
{
    constexpr auto schedules = std::uint64_t{10};
    for (auto seed = std::uint64_t{1}; seed <= schedules; ++seed) {
        auto fleet = ControlFleet(seed, 3, 2);
        startAll(fleet);
        fleet.run(10s);
        // The entries without a log renew with the first two voters, which are in their zones.
        const auto relay = std::size_t{fleet.leader() == 0U ? 1U : 0U};
        fleet.dropsMessage_ = [relay](std::size_t from, std::size_t to, const std::string &) {
            return (from == relay && to < 3) || (to == relay && from < 3);
        };
        fleet.proposeDeclaration(*fleet.leader());
        CHECK(fleet.runUntil([&] { return fleet.allInForce(); }, 5s));
        fleet.run(3s);
        checkHealed(fleet);
    }
}

TEST(InForce, aRelay_logLost_countsTheLeasesThatItGrantedBefore)
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto fleet = ControlFleet(seed, 3, 2);
        startAll(fleet);
        fleet.run(10s);
        const auto relay = (*fleet.leader() + 1) % 3;
        fleet.stop(relay);
        fleet.loseDisk(relay);
        fleet.start(relay);
        const auto logFrom = fleet.now() + 1s;
        fleet.dropsMessage_ = [&fleet, relay, logFrom](std::size_t from, std::size_t to,
                                                       const std::string &method) {
            const auto isEarlyLog = method == "control.log" && fleet.now() < logFrom;
            return (to == relay && isEarlyLog) || (from >= 3 && method == "control.renew");
        };
        fleet.proposeDeclaration(*fleet.leader());
        fleet.run(4s);
        checkHealed(fleet);
    }
}

TEST(InForce, aGrantToAnEarlierRun_received_givesNoLease)
{
    constexpr auto rounds = 20;
    auto fleet = ControlFleet(5, 3, 2);
    startAll(fleet);
    fleet.run(5s);
    fleet.maximumDelay_ = 1500ms;
    for (auto round = 0; round < rounds; ++round) {
        fleet.dropsMessage_ = nullptr;
        fleet.stop(4);
        fleet.start(4);
        fleet.run(1s);
        fleet.stop(4);
        fleet.start(4);
        fleet.dropsMessage_ = [](std::size_t from, std::size_t, const std::string &method) {
            return from == 4 && method == "control.renew";
        };
        CHECK(!fleet.runUntil([&] { return fleet.service(4).mayTakeWork(); }, 2500ms));
    }
}

TEST(InForce, reorderedSnapshots_received_revertNoVersion)
{
    constexpr auto rounds = 12;
    auto fleet = ControlFleet(7, 3, 2);
    fleet.settings_.snapshotAfterRecords_ = 5;
    startAll(fleet);
    fleet.maximumEntryDelay_ = 2s;
    for (auto round = 0; round < rounds; ++round) {
        fleet.stop(4);
        fleet.start(4);
        for (auto change = 0; change < 30; ++change) {
            fleet.proposeDeclaration(*fleet.leader());
            fleet.run(100ms);
        }
    }
    STRCMP_EQUAL("", fleet.violations().c_str());
}

TEST(InForce, versions_500ChangesWithRestartsAndSnapshots_neverRevert)
{
    constexpr auto changes = 500;
    auto fleet = ControlFleet(11, 3, 2);
    fleet.settings_.snapshotAfterRecords_ = 40;
    auto installed = 0;
    fleet.event_ = [&](const Event &event) {
        installed += event.number_ == EventNumber::SnapshotInstalled ? 1 : 0;
    };
    startAll(fleet);
    for (auto change = 0; change < changes; ++change) {
        if (change > changes / 2)
            fleet.isolatedNodes_.insert(2);
        const auto leader = fleet.leader();
        if (leader)
            fleet.proposeDeclaration(*leader);
        if (fleet.random(25) == 0)
            fleet.randomFault();
        if (fleet.random(100) == 0)
            fleet.heal();
        fleet.run(std::chrono::milliseconds(20 * (1 + fleet.random(10))));
    }
    checkHealed(fleet);
    CHECK(installed > 0);
    fleet.stop(4);
    fleet.run(1s);
    fleet.start(4);
    checkHealed(fleet);
    CHECK(fleet.service(4).readState([](const auto &state) { return state.version_; }) > 50);
}

/// Guards against planning from the demand at one entry: no entry sees the demand on the whole
/// fleet.
TEST(InForce, theLeader_entriesReportDemand_knowsTheSum)
{
    auto fleet = ControlFleet(1, 3, 2);
    startAll(fleet);
    const auto pool = PoolName("large");
    fleet.service(3).setLocalDemand({PoolDemand{pool, 1.5}});
    fleet.service(4).setLocalDemand({PoolDemand{pool, 2.5}});
    fleet.run(2s);
    const auto demand = fleet.service(*fleet.leader()).demand();
    CHECK(demand.contains(pool));
    DOUBLES_EQUAL(4.0, demand.at(pool), 0.01);
}

TEST(InForce, theLeader_anEntryStopsRenewing_dropsItsDemand)
{
    auto fleet = ControlFleet(1, 3, 2);
    startAll(fleet);
    const auto pool = PoolName("large");
    fleet.service(3).setLocalDemand({PoolDemand{pool, 1.5}});
    fleet.service(4).setLocalDemand({PoolDemand{pool, 2.5}});
    fleet.run(2s);
    fleet.stop(4);
    fleet.run(3s);
    DOUBLES_EQUAL(1.5, fleet.service(*fleet.leader()).demand().at(pool), 0.01);
}
