#include "forward/RouteIndex.h"

#include "requests/RequestDigest.h"
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

TEST(RouteIndex, twoMatchingPrefixes_findRoute_returnsTheLongest)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.findRoute("h", "/a/b/c?x=/a/")->name_ == "long");
    CHECK(index.findRoute("h", "/a/c")->name_ == "short");
}

TEST(RouteIndex, anotherHostOrPath_findRoute_findsNothing)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.findRoute("other", "/a/b/") == nullptr);
    CHECK(index.findRoute("h", "/b/?x=/a/") == nullptr);
}

TEST(RouteIndex, aKey_findWorkspace_findsOnlyItsWorkspace)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.findWorkspace("key")->name_ == WorkspaceName("w"));
    CHECK(index.findWorkspace("other") == nullptr);
}

TEST(RouteIndex, sharedEngines_findPool_returnsThePoolOfTheModel)
{
    const auto index = RouteIndex(declaration_);
    CHECK(index.findPool(PoolName("e"), "m") == PoolName("e/m"));
    CHECK_FALSE(index.findPool(PoolName("e"), "unknown").has_value());
    CHECK(index.findPool(PoolName("plain"), "") == PoolName("plain"));
}

TEST(RouteIndex, engineTimesAreDeclared_estimateGroupSeconds_addsPrefillAndTheShareOfEachStep)
{
    auto &pool = declaration_.pools_.front();
    pool.pace_ = 0.5;
    auto profile = UpstreamProfile{.name_ = enginesOf(pool), .slots_ = 20};
    profile.times_ = EngineTimes{6, 0.2, 50000};
    declaration_.profiles_ = {profile};
    const auto index = RouteIndex(declaration_);
    DOUBLES_EQUAL(0.5 * (0.02 + 100 * 0.0005),
                  index.estimateGroupSeconds(PoolName("e/m"), 1000, 100), 1e-9);
    DOUBLES_EQUAL(0, index.estimateGroupSeconds(PoolName("plain"), 1000, 100), 1e-9);
}

TEST(RouteIndex, engineTimesAreUnknown_estimateGroupSeconds_countsRequests)
{
    const auto index = RouteIndex(declaration_);
    DOUBLES_EQUAL(1, index.estimateGroupSeconds(PoolName("e/m"), 1000, 100), 1e-9);
}
