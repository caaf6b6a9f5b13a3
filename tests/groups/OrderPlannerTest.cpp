#include "groups/OrderPlanner.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(OrderPlanner)
{
    FleetState state_;
    OrderPlanner planner_;
    MonotonicTime now_{seconds(100)};
    UpstreamId member_{"u"};

    auto setup()->void override
    {
        auto announced = Announcement{};
        announced.upstream_ = member_;
        announced.incarnation_ = 1;
        announced.pool_ = PoolName("llm");
        state_.upstreams_[member_] = Upstream{announced, EntryId("e"), false, false};
        state_.declaration_.pools_ = {Pool{PoolName("llm"), "large", 1, 0, {}}};
        state_.groups_[GroupId("g")] = Group{.id_ = GroupId("g"),
                                             .pool_ = PoolName("llm"),
                                             .zone_ = {},
                                             .epoch_ = 2,
                                             .fencing_ = 7,
                                             .members_ = {member_}};
        state_.groupOf_[member_] = GroupId("g");
    }

    auto announced()->Announcement &
    {
        return state_.upstreams_.at(member_).announced_;
    }

    auto planOrderCount()->std::size_t
    {
        return planner_.plan(state_, now_).size();
    }
};

TEST(OrderPlanner, anOrderInFlight_plan_sendsNoOtherUntilItEnded)
{
    UNSIGNED_LONGS_EQUAL(1, planOrderCount());
    now_ += seconds(60);
    state_.groups_.at(GroupId("g")).epoch_ = 3;
    announced().incarnation_ = 2;
    UNSIGNED_LONGS_EQUAL(0, planOrderCount());
    planner_.orderEnded(member_, false, now_);
    UNSIGNED_LONGS_EQUAL(1, planOrderCount());
}

TEST(OrderPlanner, anAcceptedOrder_plan_waitsForItsEffectToBeAnnouncedBeforeItRepeats)
{
    UNSIGNED_LONGS_EQUAL(1, planOrderCount());
    planner_.orderEnded(member_, true, now_);
    now_ += milliseconds(1900);
    UNSIGNED_LONGS_EQUAL(0, planOrderCount());
    now_ += milliseconds(200);
    UNSIGNED_LONGS_EQUAL(1, planOrderCount());
}

TEST(OrderPlanner, aMemberThatAnnouncesItsGroup_plan_sendsNothing)
{
    announced().group_ = GroupId("g");
    announced().epoch_ = 2;
    UNSIGNED_LONGS_EQUAL(0, planOrderCount());
}

TEST(OrderPlanner, aMemberThatAnnouncesAnotherGroup_plan_ordersItToLeaveFirst)
{
    announced().group_ = GroupId("old");
    announced().epoch_ = 5;
    const auto orders = planner_.plan(state_, now_);
    UNSIGNED_LONGS_EQUAL(1, orders.size());
    CHECK(orders[0].kind_ == OrderKind::Leave);
    CHECK(orders[0].group_ == GroupId("old"));
    UNSIGNED_LONGS_EQUAL(7, orders[0].fencing_);
}

TEST(OrderPlanner, anEngineThatAnnouncesADissolvedGroup_plan_ordersItToLeave)
{
    state_.groups_.clear();
    state_.groupOf_.clear();
    state_.lastFencing_ = 9;
    announced().group_ = GroupId("g");
    const auto orders = planner_.plan(state_, now_);
    UNSIGNED_LONGS_EQUAL(1, orders.size());
    CHECK(orders[0].kind_ == OrderKind::Leave);
}
