#include "groups/Regrouping.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

/// Domains of eight instances whose groups of four and two share the engines of one service. Each
/// unit of work needs as many instances in either pool.
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
                candidate.fits_ = {large_, small_};
            candidates_.push_back(candidate);
        }
    }

    auto addFree(const std::string &domain, int count, const std::set<PoolName> &fits)->void
    {
        for (auto i = 0; i < count; ++i)
            candidates_.push_back({FabricDomain(domain), GroupId(), PoolName(), fits});
    }
};

/// Pattern: members of the larger model are lost one by one; each leaves three instances idle
/// beside groups of the smaller model.
TEST(Regrouping, threeIdleInstancesBesideAGroupOfTheOtherPool_choose_takesThatGroupApart)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    addFree("d", 3, {large_, small_});
    CHECK(groupsToTakeApart(pools(6, 8), candidates_) == std::vector{GroupId("s1")});
}

TEST(Regrouping, enoughInstancesAreFree_choose_leavesTheDonorWithAsManyGroups)
{
    addGroup("d", "s1", small_, 2);
    addFree("d", 3, {large_});
    addFree("d", 1, {small_});
    // With the group taken apart both pools get one: four of the six serve the larger model.
    CHECK(groupsToTakeApart(pools(5, 6), candidates_) == std::vector{GroupId("s1")});
}

TEST(Regrouping, bothPoolsAreCoveredAlike_choose_takesNothingApart)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    addFree("d", 3, {large_, small_});
    CHECK(groupsToTakeApart(pools(8, 8), candidates_).empty());
}

TEST(Regrouping, theOtherPoolWouldBeCoveredWorse_choose_takesNothingApart)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    CHECK(groupsToTakeApart(pools(7, 8), candidates_).empty());
}

TEST(Regrouping, membersLackTheWeights_choose_takesNothingApart)
{
    addGroup("d", "s1", small_, 2, false);
    addGroup("d", "s2", small_, 2, false);
    addFree("d", 3, {large_});
    CHECK(groupsToTakeApart(pools(5, 8), candidates_).empty());
}

TEST(Regrouping, aPoolHasNoGroupLeft_choose_takesAsManyApartAsItNeeds)
{
    addGroup("d", "s1", small_, 2);
    addGroup("d", "s2", small_, 2);
    CHECK(groupsToTakeApart(pools(0, 8), candidates_)
          == (std::vector{GroupId("s1"), GroupId("s2")}));
}

/// Pattern: the smaller model is short of groups; one group of the larger has room for two.
TEST(Regrouping, theSmallerModelIsShort_choose_takesAGroupOfTheLargerApart)
{
    addGroup("d", "l1", large_, 4);
    CHECK(groupsToTakeApart(pools(8, 4), candidates_) == std::vector{GroupId("l1")});
}

TEST(Regrouping, instancesOfSeveralDomains_choose_formsNoGroupAcrossThem)
{
    addFree("d", 3, {large_, small_});
    addGroup("e", "s1", small_, 2);
    CHECK(groupsToTakeApart(pools(4, 8), candidates_).empty());
}

TEST(Regrouping, theShortPoolIsToGetNoMoreGroups_choose_takesNothingApart)
{
    addGroup("d", "s1", small_, 2);
    addFree("d", 3, {large_, small_});
    auto supplies = pools(1, 8);
    supplies.front().work_ = 0;
    CHECK(groupsToTakeApart(supplies, candidates_).empty());
}
