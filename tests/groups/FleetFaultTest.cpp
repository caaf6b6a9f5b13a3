#include "groups/FakeFleet.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto faultFreePlan() -> FleetOptions
{
    auto plan = FleetOptions{};
    plan.domainSizes_ = {6, 4, 4};
    plan.engine_.loadTime_ = seconds(3);
    return plan;
}

auto firstViolation(const FakeFleet &fleet) -> std::string
{
    return fleet.violations().empty() ? std::string{} : fleet.violations().front();
}

} // namespace

TEST_GROUP(FleetFault)
{
    FakeFleet fleet_{faultFreePlan()};

    auto setup()->void override
    {
        fleet_.run(seconds(25));
    }

    auto groupOfDomain(const std::string &domain) const->const Group *
    {
        for (const auto &[id, group] : fleet_.state().groups_) {
            const auto &first = fleet_.state().upstreams_.at(group.members_.front()).announced_;
            if (first.fabricDomain_ == FabricDomain(domain))
                return &group;
        }
        return nullptr;
    }

    auto indexOf(const UpstreamId &id)->std::size_t
    {
        auto index = std::size_t{0};
        while (fleet_.engines()[index].announced().upstream_ != id)
            ++index;
        return index;
    }
};

TEST(FleetFault, enginesAnnounceThemselves_run_formsAsManyServingGroupsAsFit)
{
    UNSIGNED_LONGS_EQUAL(3, fleet_.servingGroups());
}

TEST(FleetFault, aMemberLostWithASpareInItsDomain_run_keepsTheGroupInANewEpoch)
{
    const auto before = *groupOfDomain("d0");
    fleet_.kill(indexOf(before.members_[1]));
    fleet_.run(seconds(5));
    const auto &after = fleet_.state().groups_.at(before.id_);
    CHECK(after.epoch_ > before.epoch_);
    CHECK(after.fencing_ > before.fencing_);
    CHECK(after.members_[0] == before.members_[0]);
    CHECK(after.phase_ == GroupPhase::Serving);
}

TEST(FleetFault, aSecondMemberLostRightAfterTheRepair_run_usesTheLastSpareAndThenDissolves)
{
    const auto id = groupOfDomain("d0")->id_;
    for (auto loss = 0; loss < 2; ++loss) {
        const auto member = fleet_.state().groups_.at(id).members_[0];
        fleet_.kill(indexOf(member));
        fleet_.run(seconds(5));
        CHECK(fleet_.state().groups_.at(id).phase_ == GroupPhase::Serving);
    }
    fleet_.kill(indexOf(fleet_.state().groups_.at(id).members_[2]));
    fleet_.run(seconds(5));
    CHECK_FALSE(fleet_.state().groups_.contains(id));
    UNSIGNED_LONGS_EQUAL(2, fleet_.servingGroups());
}

TEST(FleetFault, aMemberThatRestartsQuickly_run_formsANewEpochOfTheSameMembers)
{
    const auto before = *groupOfDomain("d1");
    fleet_.restart(indexOf(before.members_[3]));
    fleet_.run(seconds(10));
    const auto &after = fleet_.state().groups_.at(before.id_);
    CHECK(after.members_ == before.members_);
    CHECK(after.epoch_ > before.epoch_);
    CHECK(after.phase_ == GroupPhase::Serving);
}

TEST(FleetFault,
     aLateOrderOfAnOldEpochAtAnEngineThatDoesNotCheckFencing_arrives_stopsTheGroupUntilRepaired)
{
    const auto before = *groupOfDomain("d0");
    auto engine = indexOf(before.members_[0]);
    for (const auto &member : before.members_) {
        if (!fleet_.engines()[indexOf(member)].announced().checksFencing_)
            engine = indexOf(member);
    }
    auto lateOrder = EngineOrder{};
    lateOrder.kind_ = OrderKind::Join;
    lateOrder.group_ = GroupId("old");
    lateOrder.epoch_ = 1;
    lateOrder.model_ = "large";
    CHECK(fleet_.engines()[engine].execute(lateOrder, fleet_.now()));
    fleet_.run(seconds(1));
    UNSIGNED_LONGS_EQUAL(2, fleet_.servingGroups());
    fleet_.run(seconds(10));
    UNSIGNED_LONGS_EQUAL(3, fleet_.servingGroups());
    CHECK(fleet_.state().groups_.at(before.id_).epoch_ > before.epoch_);
}

TEST(FleetFault, aZoneTakenOutAndBroughtIn_run_keepsTheGroupFormedAndServesAtOnce)
{
    const auto before = *groupOfDomain("d1");
    fleet_.setZone("curico", true);
    fleet_.run(seconds(30));
    UNSIGNED_LONGS_EQUAL(2, fleet_.servingGroups());
    fleet_.setZone("curico", false);
    fleet_.run(seconds(1));
    UNSIGNED_LONGS_EQUAL(3, fleet_.servingGroups());
    UNSIGNED_LONGS_EQUAL(before.epoch_, fleet_.state().groups_.at(before.id_).epoch_);
}

TEST(FleetFault, aMemberThatDrains_run_isReplacedOnceNothingRuns)
{
    const auto leaving = groupOfDomain("d0")->members_[0];
    fleet_.drain(indexOf(leaving), true);
    fleet_.run(seconds(15));
    CHECK_FALSE(fleet_.state().groupOf_.contains(leaving));
    UNSIGNED_LONGS_EQUAL(3, fleet_.servingGroups());
}

TEST(FleetFault, theLeaseholderFreezes_run_movesTheLeaseAfterItsStateLeaseExpired)
{
    const auto before = *groupOfDomain("d0");
    auto holder = std::size_t{0};
    while (EntryId("e" + std::to_string(holder)) != before.leaseholder_)
        ++holder;
    fleet_.freezeEntry(holder, seconds(60));
    fleet_.run(seconds(12));
    const auto &after = fleet_.state().groups_.at(before.id_);
    CHECK(after.leaseholder_ != before.leaseholder_);
    UNSIGNED_LONGS_EQUAL(before.leaseNumber_ + 1, after.leaseNumber_);
    UNSIGNED_LONGS_EQUAL(3, fleet_.servingGroups());
}

TEST(FleetFault, everyEngineColdUnderFullLoad_run_neverExceedsAColdLimit)
{
    auto plan = faultFreePlan();
    plan.requestRate_ = 200;
    auto fleet = FakeFleet(plan);
    fleet.run(seconds(20));
    for (auto engine = std::size_t{0}; engine < fleet.engines().size(); ++engine)
        fleet.restart(engine);
    fleet.run(seconds(20));
    for (auto entry = std::size_t{0}; entry < 2; ++entry)
        fleet.freezeEntry(entry, seconds(6));
    fleet.run(seconds(20));
    STRCMP_EQUAL("", firstViolation(fleet).c_str());
    CHECK(fleet.startOutcomes().size() > 1000);
}

TEST(FleetFault, manyInstancesWithoutWeights_run_loadNoMoreAtOnceThanThePolicyAllows)
{
    auto plan = faultFreePlan();
    plan.policy_.loadsAtOnce_ = 3;
    auto fleet = FakeFleet(plan);
    for (auto step = 0; step < 200; ++step) {
        fleet.run(milliseconds(100));
        auto loading = std::size_t{0};
        for (auto &engine : fleet.engines()) {
            engine.advance(fleet.now());
            const auto &announced = engine.announced();
            const auto loads
                = announced.loaded_.empty() && announced.phase_ == MemberPhase::Loading;
            loading += loads ? 1 : 0;
        }
        CHECK(loading <= 3);
    }
    fleet.run(seconds(10));
    UNSIGNED_LONGS_EQUAL(3, fleet.servingGroups());
}
