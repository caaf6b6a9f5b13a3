#include "groups/Regrouping.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

/// Two pools with groups of four and two instances share their engines. A unit of work needs as
/// many instances in either pool; the larger model has twice the work of the smaller.
TEST_GROUP(Regrouping)
{
    PoolName large_{"large"};
    PoolName small_{"small"};
    std::vector<RegroupCandidate> candidates_;

    auto pools(std::size_t large, std::size_t small)->std::vector<PoolSupply>
    {
        return {PoolSupply{large_, 4, large, 2}, PoolSupply{small_, 2, small, 1}};
    }

    auto addGroup(const std::string &domain, const std::string &group, const PoolName &pool,
                  int members, bool holdsBoth = true)
        ->void
    {
        for (auto i = 0; i < members; ++i) {
            auto candidate = RegroupCandidate{FabricDomain(domain), GroupId(group), pool, {pool}};
            if (holdsBoth)
                candidate.eligiblePools_ = {large_, small_};
            candidates_.push_back(candidate);
        }
    }

    auto addFree(const std::string &domain, int count, const std::set<PoolName> &eligiblePools)
        ->void
    {
        for (auto i = 0; i < count; ++i)
            candidates_.push_back({FabricDomain(domain), GroupId(), PoolName(), eligiblePools});
    }
};

/// Guards against idle instances: each lost member of the larger model leaves three instances free
/// in a domain with groups of the smaller model.
TEST(Regrouping, threeFreeInstancesBesideGroupsOfTheOtherPool_groupsToDissolve_returnsOneOfThem)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    addFree("d", 3, {large_, small_});
    CHECK(groupsToDissolve(pools(6, 8), candidates_) == std::vector{GroupId("s1")});
}

TEST(Regrouping, enoughInstancesAreFree_groupsToDissolve_letsTheDonorKeepItsNumberOfGroups)
{
    addGroup("d", "s1", small_, 2);
    addFree("d", 3, {large_});
    addFree("d", 1, {small_});
    // The six instances form one group of each pool: four of them serve the larger model.
    CHECK(groupsToDissolve(pools(5, 6), candidates_) == std::vector{GroupId("s1")});
}

TEST(Regrouping, bothPoolsHaveEqualCoverage_groupsToDissolve_returnsNone)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    addFree("d", 3, {large_, small_});
    CHECK(groupsToDissolve(pools(8, 8), candidates_).empty());
}

TEST(Regrouping, theDonorWouldHaveLowerCoverage_groupsToDissolve_returnsNone)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    CHECK(groupsToDissolve(pools(7, 8), candidates_).empty());
}

TEST(Regrouping, membersLackTheWeights_groupsToDissolve_returnsNone)
{
    addGroup("d", "s1", small_, 2, false);
    addGroup("d", "s2", small_, 2, false);
    addFree("d", 3, {large_});
    CHECK(groupsToDissolve(pools(5, 8), candidates_).empty());
}

TEST(Regrouping, aPoolHasNoGroupLeft_groupsToDissolve_returnsAsManyAsItNeeds)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    CHECK(groupsToDissolve(pools(0, 8), candidates_)
          == (std::vector{GroupId("s1"), GroupId("s2")}));
}

/// The smaller model has too few groups. The members of one larger group can form two of them.
TEST(Regrouping, theSmallerModelHasTooFewGroups_groupsToDissolve_returnsAGroupOfTheLarger)
{
    addGroup("d", "l1", large_, 4);
    CHECK(groupsToDissolve(pools(8, 4), candidates_) == std::vector{GroupId("l1")});
}

TEST(Regrouping, instancesOfSeveralDomains_groupsToDissolve_formsNoGroupAcrossThem)
{
    addFree("d", 3, {large_, small_});
    addGroup("e", "s1", small_, 2);
    CHECK(groupsToDissolve(pools(4, 8), candidates_).empty());
}

TEST(Regrouping, theNeediestPoolIsToGetNoMoreGroups_groupsToDissolve_returnsNone)
{
    addGroup("d", "s1", small_, 2);
    addFree("d", 3, {large_, small_});
    auto supplies = pools(1, 8);
    supplies.front().work_ = 0;
    CHECK(groupsToDissolve(supplies, candidates_).empty());
}
