#include "StateFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(GroupCommands)
{
    StateFixture fixture_;

    auto setup()->void override
    {
        fixture_.applyDeclaration("first", 0, StateFixture::declaration());
        for (const auto *id : {"u1", "u2", "u3", "u4"})
            fixture_.announce(id);
        fixture_.announce("far", "f2");
    }

    auto serve(const std::string &group, Epoch epoch, const std::vector<std::string> &members)
        ->CommandOutcome
    {
        for (const auto &member : members)
            fixture_.announce(member, "f1", group, epoch, MemberPhase::Ready);
        return fixture_.run(SetGroupPhase{GroupId(group), epoch, GroupPhase::Serving});
    }

    auto phaseOf(const std::string &group)->GroupPhase
    {
        return fixture_.state().groups_.at(GroupId(group)).phase_;
    }
};

TEST(GroupCommands, aMemberOfAnotherGroup_isRefused)
{
    CHECK(fixture_.form("g1", 0, {"u1", "u2"}).accepted_);
    CHECK_FALSE(fixture_.form("g2", 0, {"u2", "u3"}).accepted_);
}

TEST(GroupCommands, aMemberThatStillTakesItselfForAnothers_isRefused)
{
    fixture_.announce("u1", "f1", "g0", 7, MemberPhase::Ready);
    CHECK_FALSE(fixture_.form("g1", 0, {"u1", "u2"}).accepted_);
}

TEST(GroupCommands, oneMemberTwice_orTooFew_isRefused)
{
    CHECK_FALSE(fixture_.form("g1", 0, {"u1", "u1"}).accepted_);
    CHECK_FALSE(fixture_.form("g1", 0, {"u1"}).accepted_);
}

TEST(GroupCommands, membersInTwoFabricDomains_areRefusedUnlessDeclared)
{
    CHECK_FALSE(fixture_.form("g1", 0, {"u1", "far"}).accepted_);
    auto declaration = StateFixture::declaration();
    declaration.defaults_.acrossDomains_ = true;
    fixture_.applyDeclaration("across", 1, declaration);
    CHECK(fixture_.form("g1", 0, {"u1", "far"}).accepted_);
}

TEST(GroupCommands, aGroupWhoseMembersDoNotAllAgree_doesNotServe)
{
    fixture_.form("g1", 0, {"u1", "u2"});
    CHECK_FALSE(serve("g1", 1, {"u1"}).accepted_);
    CHECK(serve("g1", 1, {"u2"}).accepted_);
}

TEST(GroupCommands, aServingGroup_withAMemberLostOrRestarted_stopsAtOnce)
{
    fixture_.form("g1", 0, {"u1", "u2"});
    serve("g1", 1, {"u1", "u2"});
    CHECK(fixture_.run(LoseUpstream{UpstreamId("u1"), 1, EntryId("e1")}).accepted_);
    CHECK(phaseOf("g1") == GroupPhase::Forming);
    serve("g1", 1, {"u1", "u2"});
    CHECK(phaseOf("g1") == GroupPhase::Serving);
    fixture_.announceAs(2, "u2", "f1", "", 0, MemberPhase::Idle);
    CHECK(phaseOf("g1") == GroupPhase::Forming);
}

TEST(GroupCommands, aLossReportedByAnEarlierWatcherOrIncarnation_changesNothing)
{
    CHECK_FALSE(fixture_.run(LoseUpstream{UpstreamId("u1"), 1, EntryId("e9")}).accepted_);
    CHECK_FALSE(fixture_.run(LoseUpstream{UpstreamId("u1"), 0, EntryId("e1")}).accepted_);
    CHECK_FALSE(fixture_.state().upstreams_.at(UpstreamId("u1")).lost_);
}

TEST(GroupCommands, aRepair_raisesEpochAndFencing_andFreesTheLostMember)
{
    fixture_.form("g1", 0, {"u1", "u2"});
    const auto before = fixture_.state().groups_.at(GroupId("g1"));
    CHECK(fixture_.form("g1", 1, {"u1", "u3"}).accepted_);
    const auto &after = fixture_.state().groups_.at(GroupId("g1"));
    CHECK(after.epoch_ == 2);
    CHECK(after.fencing_ > before.fencing_);
    CHECK(fixture_.form("g2", 0, {"u2", "u4"}).accepted_);
    CHECK_FALSE(fixture_.form("g1", 1, {"u1", "u3"}).accepted_);
}

TEST(GroupCommands, aLease_isRevokedBeforeItIsGrantedAgain)
{
    fixture_.form("g1", 0, {"u1", "u2"});
    CHECK(fixture_.run(SetLeaseholder{GroupId("g1"), 0, EntryId("e1")}).accepted_);
    CHECK_FALSE(fixture_.run(SetLeaseholder{GroupId("g1"), 1, EntryId("e2")}).accepted_);
    CHECK(fixture_.run(SetLeaseholder{GroupId("g1"), 1, EntryId()}).accepted_);
    CHECK(fixture_.run(SetLeaseholder{GroupId("g1"), 1, EntryId("e2")}).accepted_);
    CHECK(fixture_.state().groups_.at(GroupId("g1")).leaseNumber_ == 2);
}
