#include "state/DeclarationCheck.h"

#include "StateFixture.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

struct BadDeclaration
{
    std::function<void(Declaration &)> spoil_;
    const char *expected_;
};

auto exceptionFor(const char *zone, std::uint32_t coldLimit, const char *reason) -> ExceptionRule
{
    return ExceptionRule{ExceptionMatch{.zone_ = ZoneName(zone)},
                         PolicyOverride{.coldLimit_ = coldLimit}, reason};
}

const auto badDeclarations = std::vector<BadDeclaration>{
    {[](Declaration &d) { d.zones_.emplace_back("a"); }, "/zones/2: 'a' stands twice; remove one"},
    {[](Declaration &d) { d.exceptions_ = {exceptionFor("a", 1, " ")}; },
     "/exceptions/0/reason: is empty; write why the defaults do not fit here"},
    {[](Declaration &d) { d.exceptions_ = {exceptionFor("x", 1, "old racks")}; },
     "/exceptions/0/match/zone: unknown zone 'x'; add it to /zones"},
    {[](Declaration &d) {
         d.exceptions_ = {exceptionFor("a", 1, "old racks"), exceptionFor("a", 3, "new racks")};
     },
     "/exceptions/1: contradicts /exceptions/0, which matches the same; keep one value"},
    {[](Declaration &d) { d.exceptions_ = {exceptionFor("a", 99, "big racks")}; },
     "/exceptions/0/set/coldLimit: must not exceed warmLimit"},
    {[](Declaration &d) { d.pools_[0].instancesPerGroup_ = 0; },
     "/pools/0/instancesPerGroup: must be at least 1"},
    {[](Declaration &d) { d.pools_[0].zones_ = {ZoneName("x")}; },
     "/pools/0/zones: unknown zone 'x'; add it to /zones"},
    {[](Declaration &d) { d.defaults_.silenceTimeoutMs_ = 600; },
     "/defaults/silenceTimeoutMs: must be at least three times announceEveryMs"},
    {[](Declaration &d) {
         d.workspaces_ = {Workspace{WorkspaceName("w"), 0}};
     },
     "/workspaces/0/weight: must be at least 1"},
    {[](Declaration &d) { d.requestLimits_ = RequestLimits{.bodyBytes_ = 0}; },
     "/requestLimits/bodyBytes: must be at least 1"},
};

} // namespace

TEST_GROUP(DeclarationCheck){};

TEST(DeclarationCheck, aSoundDeclaration_hasNoProblems)
{
    CHECK(checkDeclaration(StateFixture::declaration()).empty());
}

TEST(DeclarationCheck, eachFault_isNamedWithItsPath)
{
    for (const auto &bad : badDeclarations) {
        auto declaration = StateFixture::declaration();
        bad.spoil_(declaration);
        const auto problems = checkDeclaration(declaration);
        CHECK(problems.size() == 1);
        STRCMP_EQUAL(bad.expected_, problems.at(0).c_str());
    }
}

TEST(DeclarationCheck, anUpstreamException_winsOverZoneAndPool)
{
    auto declaration = StateFixture::declaration();
    declaration.exceptions_ = {
        ExceptionRule{{.upstream_ = UpstreamId("u1")}, PolicyOverride{.coldLimit_ = 5}, "measured"},
        ExceptionRule{
            {.pool_ = PoolName("llm")}, PolicyOverride{.coldLimit_ = 4, .warmLimit_ = 8}, "pool"},
        exceptionFor("a", 3, "zone")};
    const auto policy = policyFor(declaration, ZoneName("a"), PoolName("llm"), UpstreamId("u1"));
    CHECK(policy.coldLimit_ == 5);
    CHECK(policy.warmLimit_ == 8);
    CHECK(policyFor(declaration, ZoneName("b"), PoolName("x"), UpstreamId("u2"))
          == declaration.defaults_);
}
