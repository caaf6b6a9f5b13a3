#include "routing/Permit.h"

#include "state/FleetState.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(Permit)
{
    FleetState state_;
    Permit permit_{.group_ = GroupId("g"), .epoch_ = 2, .leaseNumber_ = 3, .number_ = 1};

    auto setup()->void override
    {
        state_.groups_[GroupId("g")] = Group{
            .id_ = GroupId("g"), .epoch_ = 2, .leaseholder_ = EntryId("e"), .leaseNumber_ = 3};
    }

    auto group()->Group &
    {
        return state_.groups_.at(GroupId("g"));
    }
};

TEST(Permit, theSameEpochAndLease_isStillValid_isTrue)
{
    CHECK_TRUE(isStillValid(state_, permit_));
}

TEST(Permit, aNewEpoch_isStillValid_isFalse)
{
    group().epoch_ = 3;
    CHECK_FALSE(isStillValid(state_, permit_));
}

TEST(Permit, aNewLease_isStillValid_isFalse)
{
    group().leaseNumber_ = 4;
    CHECK_FALSE(isStillValid(state_, permit_));
}

TEST(Permit, aRevokedLease_isStillValid_isFalse)
{
    group().leaseholder_ = EntryId{};
    CHECK_FALSE(isStillValid(state_, permit_));
}

TEST(Permit, aRemovedGroup_isStillValid_isFalse)
{
    state_.groups_.clear();
    CHECK_FALSE(isStillValid(state_, permit_));
}
