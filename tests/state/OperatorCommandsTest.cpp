#include "StateFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(OperatorCommands)
{
    StateFixture fixture_;

    auto setup()->void override
    {
        fixture_.applyDeclaration("first", 0, StateFixture::declaration());
    }
};

TEST(OperatorCommands, aDeclarationFromThePresentVersion_isAccepted)
{
    const auto outcome = fixture_.applyDeclaration("op", 1, StateFixture::declaration());
    CHECK(outcome.accepted_);
    CHECK(outcome.operation_->version_ == 2);
    CHECK(fixture_.state().version_ == 2);
}

TEST(OperatorCommands, twoOperatorsUnderEqualVersions_haveOneWinner)
{
    auto changed = StateFixture::declaration();
    changed.defaults_.coldLimit_ = 1;
    CHECK(fixture_.applyDeclaration("mine", 1, changed).accepted_);
    const auto second = fixture_.applyDeclaration("yours", 1, StateFixture::declaration());
    CHECK_FALSE(second.accepted_);
    CHECK(second.operation_->status_ == OperationStatus::Conflict);
    CHECK(second.operation_->version_ == 2);
    STRCMP_EQUAL("/defaults/coldLimit: 1 -> 2", second.operation_->differences_.at(0).c_str());
}

TEST(OperatorCommands, anOperationSentAgain_alsoAfterASnapshot_getsItsFirstOutcome)
{
    const auto first = fixture_.applyDeclaration("op", 1, StateFixture::declaration());
    CHECK(fixture_.applyDeclaration("op", 1, StateFixture::declaration()) == first);
    auto other = StateFixture();
    CHECK(other.machine_.restore(fixture_.machine_.snapshot()).ok());
    other.index_ = fixture_.index_;
    CHECK(other.applyDeclaration("op", 1, StateFixture::declaration()) == first);
    CHECK(other.state().version_ == 2);
}

TEST(OperatorCommands, anApply_afterAZoneWasTakenOut_neitherUndoesNorIsBlocked)
{
    CHECK(fixture_.run(SetZone{OperationId("z"), "", 0, ZoneName("a"), true}).accepted_);
    CHECK(fixture_.applyDeclaration("op", 1, StateFixture::declaration()).accepted_);
    CHECK(isZoneOut(fixture_.state(), ZoneName("a")));
}

TEST(OperatorCommands, anUnknownZoneOrUpstream_isRefused)
{
    CHECK_FALSE(fixture_.run(SetZone{OperationId("z"), "", 0, ZoneName("x"), true}).accepted_);
    CHECK_FALSE(fixture_.run(DrainUpstream{OperationId("d"), "", 0, UpstreamId("x")}).accepted_);
}

TEST(OperatorCommands, aSnapshotOfAnOlderState_restored_isRefused)
{
    const auto old = fixture_.machine_.snapshot();
    fixture_.applyDeclaration("op", 1, StateFixture::declaration());
    CHECK_FALSE(fixture_.machine_.restore(old).ok());
    CHECK(fixture_.state().version_ == 2);
}
