#include "control/ZoneExposure.h"
#include "control/ControlFleet.h"
#include "control/VoterReconciliation.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

auto viewOf(const std::map<std::string, std::string> &zoneByVoter) -> VoterView
{
    auto view = VoterView{};
    for (const auto &[voter, zone] : zoneByVoter) {
        view.voters_.insert(EntryId(voter));
        view.zones_.emplace(EntryId(voter), ZoneName(zone));
    }
    return view;
}

} // namespace

TEST_GROUP(ZoneExposure)
{
    MonotonicTime now_{100s};
    ZoneExposure exposure_;
    std::set<ZoneName> zones_{ZoneName("a")};
};

TEST(ZoneExposure, aZoneWithTwoOfThreeVoters_zonesHoldingQuorum_hasIt)
{
    CHECK(zonesHoldingQuorum(viewOf({{"1", "a"}, {"2", "a"}, {"3", "b"}})) == zones_);
}

TEST(ZoneExposure, aVoterInEachOfThreeZones_zonesHoldingQuorum_isEmpty)
{
    CHECK(zonesHoldingQuorum(viewOf({{"1", "a"}, {"2", "b"}, {"3", "c"}})).empty());
}

TEST(ZoneExposure, votersThatAreNotRegistered_zonesHoldingQuorum_areInNoZone)
{
    auto view = viewOf({{"1", "a"}, {"2", "a"}, {"3", "b"}});
    view.zones_.erase(EntryId("1"));
    CHECK(zonesHoldingQuorum(view).empty());
}

TEST(ZoneExposure, exposureThatLasts_update_reportsItsBeginAndItsEndOnce)
{
    CHECK_FALSE(exposure_.update(zones_, now_).has_value());
    CHECK(exposure_.update(zones_, now_ + 5s) == zones_);
    CHECK_FALSE(exposure_.update(zones_, now_ + 6s).has_value());
    CHECK_FALSE(exposure_.update({}, now_ + 7s).has_value());
    CHECK(exposure_.update({}, now_ + 12s) == std::set<ZoneName>{});
    CHECK_FALSE(exposure_.update({}, now_ + 13s).has_value());
}

TEST(ZoneExposure, exposureForTheMoveOfAVote_update_reportsNothing)
{
    CHECK_FALSE(exposure_.update(zones_, now_).has_value());
    CHECK_FALSE(exposure_.update({}, now_ + 4s).has_value());
    CHECK_FALSE(exposure_.update(zones_, now_ + 8s).has_value());
    CHECK_FALSE(exposure_.update({}, now_ + 12s).has_value());
}

/// Guards against an outage with the loss of one zone of which nothing warned.
TEST(ZoneExposure, twoOfThreeMachinesInAZone_aMachineIsAddedInAThird_isReportedAndThenOver)
{
    auto fleet = ControlFleet(1, 3, 0);
    fleet.settings_.targetVoterCount_ = 3;
    fleet.settings_.toleratesZoneLoss_ = true;
    auto reported = std::vector<Event>{};
    fleet.event_ = [&](const Event &event) {
        if (event.number_ == EventNumber::ZoneExposureBegan
            || event.number_ == EventNumber::ZoneExposureEnded)
            reported.push_back(event);
    };
    const auto zones = {"a", "a", "b"};
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.node(index).self_.zone_ = ZoneName(*std::next(zones.begin(), index));
        fleet.start(index);
    }
    CHECK(fleet.runUntilReady());
    fleet.run(10s);
    LONGS_EQUAL(1, reported.size());
    CHECK(reported[0].number_ == EventNumber::ZoneExposureBegan);
    STRCMP_EQUAL("a", reported[0].attributes_.at("zones").c_str());
    const auto added = fleet.addControlNode();
    fleet.node(added).self_.zone_ = ZoneName("c");
    fleet.start(added);
    fleet.run(15s);
    LONGS_EQUAL(2, reported.size());
    CHECK(reported[1].number_ == EventNumber::ZoneExposureEnded);
}
