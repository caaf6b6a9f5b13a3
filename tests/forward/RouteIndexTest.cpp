#include "forward/RouteIndex.h"

#include "requests/Fingerprint.h"
#include "state/Declaration.h"
#include "state/FleetState.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(RouteIndex)
{
    Declaration declaration_;

    auto setup()->void override
    {
        declaration_.routes_ = {HttpRoute{.name_ = "short", .host_ = "h", .pathPrefix_ = "/a/"},
                                HttpRoute{.name_ = "long", .host_ = "h", .pathPrefix_ = "/a/b/"}};
        declaration_.pools_ = {Pool{.name_ = PoolName("e/m"),
                                    .model_ = "m",
                                    .instancesPerGroup_ = 2,
                                    .engines_ = PoolName("e")}};
        declaration_.workspaces_
            = {Workspace{.name_ = WorkspaceName("w"), .keyDigests_ = {sha256("key")}}};
    }
};

TEST(RouteIndex, twoPrefixesThatFit_match_takesTheLongest)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.match("h", "/a/b/c?x=/a/")->name_ == "long");
    CHECK(index.match("h", "/a/c")->name_ == "short");
}

TEST(RouteIndex, anotherHostOrPath_match_findsNothing)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.match("other", "/a/b/") == nullptr);
    CHECK(index.match("h", "/b/?x=/a/") == nullptr);
}

TEST(RouteIndex, aKey_workspaceOf_findsItsHolderOnly)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.workspaceOf("key")->name_ == WorkspaceName("w"));
    CHECK(index.workspaceOf("other") == nullptr);
}

TEST(RouteIndex, sharedEngines_poolOf_isTheOneOfTheModel)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.poolOf(PoolName("e"), "m") == PoolName("e/m"));
    CHECK_FALSE(index.poolOf(PoolName("e"), "unknown").has_value());
    CHECK(index.poolOf(PoolName("plain"), "") == PoolName("plain"));
}

TEST(RouteIndex, engineTimesAreDeclared_groupSeconds_countsReadingAndTheShareOfEachStep)
{
    auto &pool = declaration_.pools_.front();
    pool.pace_ = 0.5;
    auto profile = UpstreamProfile{.name_ = enginesOf(pool), .slots_ = 20};
    profile.times_ = EngineTimes{6, 0.2, 50000};
    declaration_.profiles_ = {profile};
    const auto index = RouteIndex(declaration_);
    DOUBLES_EQUAL(0.5 * (0.02 + 100 * 0.0005), index.groupSeconds(PoolName("e/m"), 1000, 100),
                  1e-9);
    DOUBLES_EQUAL(0, index.groupSeconds(PoolName("plain"), 1000, 100), 1e-9);
}

TEST(RouteIndex, engineTimesAreUnknown_groupSeconds_countsRequests)
{
    const auto index = RouteIndex(declaration_);
    DOUBLES_EQUAL(1, index.groupSeconds(PoolName("e/m"), 1000, 100), 1e-9);
}
