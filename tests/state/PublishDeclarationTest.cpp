#include "StateFixture.h"

#include "state/DeclarationCheck.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(PublishDeclaration)
{
    StateFixture fixture_;

    static auto withRoute(HttpRoute route)->Declaration
    {
        auto declaration = StateFixture::declaration();
        declaration.routes_ = {std::move(route)};
        return declaration;
    }

    static auto route()->HttpRoute
    {
        return HttpRoute{.name_ = "r",
                         .host_ = "h",
                         .pathPrefix_ = "/a/",
                         .shares_ = {{PoolName("booking"), 1}}};
    }

    auto publish(std::uint64_t revision, const std::string &source)->CommandOutcome
    {
        return fixture_.run(PublishDeclaration{revision, StateFixture::declaration(), source});
    }
};

TEST(PublishDeclaration, aHigherRevision_publish_takesForce)
{
    CHECK(publish(7, "seven").accepted_);
    CHECK(publish(9, "nine").accepted_);
    CHECK(fixture_.state().source_ == "nine");
    UNSIGNED_LONGS_EQUAL(9, fixture_.state().revision_);
}

TEST(PublishDeclaration, aLowerOrEqualRevision_publish_isAcknowledgedAndChangesNothing)
{
    publish(9, "nine");
    CHECK(publish(9, "other").accepted_);
    CHECK(publish(7, "seven").accepted_);
    CHECK(fixture_.state().source_ == "nine");
}

TEST(PublishDeclaration, anInvalidRoute_publish_isRefused)
{
    auto twice = withRoute(route());
    twice.routes_.push_back(route());
    auto unknown = route();
    unknown.shares_ = {{PoolName("nobody"), 1}};
    auto weightless = route();
    weightless.shares_ = {{PoolName("booking"), 0}};
    auto timeless = route();
    timeless.timeoutMs_ = 0;
    for (const auto &declaration :
         {twice, withRoute(unknown), withRoute(weightless), withRoute(timeless)})
        CHECK_FALSE(fixture_.run(PublishDeclaration{1, declaration, "x"}).accepted_);
    CHECK(checkDeclaration(withRoute(route())).empty());
}

TEST(PublishDeclaration, aZoneTakenOutTwice_evacuate_isTheSameAsOnce)
{
    CHECK(fixture_.run(EvacuateZone{ZoneName("a"), true}).accepted_);
    const auto version = fixture_.state().zonesVersion_;
    CHECK(fixture_.run(EvacuateZone{ZoneName("a"), true}).accepted_);
    UNSIGNED_LONGS_EQUAL(version, fixture_.state().zonesVersion_);
    CHECK(fixture_.state().zonesOut_.contains(ZoneName("a")));
}

/// Guards against a cold upstream that gets as many requests as a warm one, because its zone comes
/// back before its announcement does (FAILBACK).
TEST(PublishDeclaration, aZoneBroughtIn_evacuate_itsUpstreamsAreColdUntilTheyAnnounceOtherwise)
{
    auto declaration = StateFixture::declaration();
    declaration.profiles_ = {UpstreamProfile{.name_ = PoolName("llm"), .coldPerSecond_ = 15}};
    CHECK(fixture_.run(PublishDeclaration{1, declaration, "x"}).accepted_);
    const auto announceWarm = [this] {
        auto announcement = Announcement{.upstream_ = UpstreamId("u1"),
                                         .incarnation_ = 1,
                                         .sequence_ = ++fixture_.sequence_,
                                         .zone_ = ZoneName("a"),
                                         .pool_ = PoolName("llm"),
                                         .cold_ = false};
        CHECK(fixture_.run(PutUpstream{announcement, EntryId("e1")}).accepted_);
    };
    const auto isCold
        = [this] { return fixture_.state().upstreams_.at(UpstreamId("u1")).announced_.cold_; };
    announceWarm();
    CHECK(fixture_.run(EvacuateZone{ZoneName("a"), true}).accepted_);
    CHECK_FALSE(isCold());
    CHECK(fixture_.run(EvacuateZone{ZoneName("a"), false}).accepted_);
    CHECK(isCold());
    announceWarm();
    CHECK_FALSE(isCold());
}
