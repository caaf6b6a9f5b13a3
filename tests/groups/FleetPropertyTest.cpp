#include "groups/FakeFleet.h"

#include <chrono>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto planWithNetworkFaults(std::uint64_t seed) -> FleetOptions
{
    auto plan = FleetOptions{};
    plan.seed_ = seed;
    plan.requestRate_ = 60;
    plan.networkFaultRate_ = 0.15;
    plan.engine_.loadTime_ = seconds(3);
    return plan;
}

/// How many groups fit into the domains.
auto possibleGroups(const FleetOptions &plan) -> std::size_t
{
    return std::accumulate(
        plan.domainSizes_.begin(), plan.domainSizes_.end(), std::size_t{0},
        [&](std::size_t sum, std::size_t size) { return sum + size / plan.instancesPerGroup_; });
}

auto crashRandomDomain(FakeFleet &fleet) -> void
{
    const auto domain = fleet.engines()[fleet.random(fleet.engines().size())].announced();
    for (auto engine = std::size_t{0}; engine < fleet.engines().size(); ++engine) {
        if (fleet.engines()[engine].announced().fabricDomain_ == domain.fabricDomain_)
            fleet.kill(engine);
    }
}

auto injectRandomFault(FakeFleet &fleet) -> void
{
    const auto engine = fleet.random(fleet.engines().size());
    const auto entry = fleet.random(fleet.entryCount());
    const auto zone = std::array{"talca", "curico", "linares"}.at(fleet.random(3));
    switch (fleet.random(13)) {
    case 0:
    case 1:
        return fleet.kill(engine);
    case 2:
    case 3:
    case 4:
        return fleet.restart(engine);
    case 5:
    case 6:
        return fleet.pause(engine, milliseconds(fleet.random(5000)));
    case 7:
        return fleet.freezeEntry(entry, milliseconds(fleet.random(8000)));
    case 8:
        return fleet.setZone(zone, true);
    case 9:
        return fleet.setZone(zone, false);
    case 10:
        return fleet.drain(engine, fleet.random(2) == 0);
    case 11:
        return fleet.changeLeader();
    default:
        return crashRandomDomain(fleet);
    }
}

auto endAllFaults(FakeFleet &fleet) -> void
{
    fleet.stopNetworkFaults();
    for (const auto *zone : {"talca", "curico", "linares"})
        fleet.setZone(zone, false);
    for (auto engine = std::size_t{0}; engine < fleet.engines().size(); ++engine) {
        fleet.drain(engine, false);
        if (!fleet.engines()[engine].isAlive())
            fleet.restart(engine);
    }
}

auto checkNoViolation(const FakeFleet &fleet) -> void
{
    const auto &violations = fleet.violations();
    STRCMP_EQUAL("", violations.empty() ? "" : violations.front().c_str());
}

} // namespace

TEST_GROUP(FleetProperty){};

TEST(FleetProperty, faultsInAnyOrder_run_keepEveryInvariantAndHeal)
{
    for (const auto seed : {1U, 2U, 3U, 4U, 5U, 28U, 32U, 52U}) {
        const auto plan = planWithNetworkFaults(seed);
        auto fleet = FakeFleet(plan);
        fleet.run(seconds(10));
        for (auto step = 0; step < 40; ++step) {
            injectRandomFault(fleet);
            fleet.run(milliseconds(fleet.random(3000)));
        }
        endAllFaults(fleet);
        fleet.run(seconds(90));
        checkNoViolation(fleet);
        UNSIGNED_LONGS_EQUAL(possibleGroups(plan), fleet.servingGroups());
    }
}
