#include "routing/GroupChooser.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(GroupChooser)
{
    FleetState state_;
    GroupChooser chooser_{ZoneName("talca"), [] { return std::uint64_t{0}; }};
    PrefixIndex index_{1000};
    PoolName pool_{"llm"};

    auto setup()->void override
    {
        for (const auto *name : {"e1", "e2"}) {
            const auto id = EntryId(name);
            state_.entries_[id]
                = EntryRecord{id, 1, ZoneName("talca"), "", "", EntryPhase::Live, false};
        }
        addGroup("a", "talca");
        addGroup("b", "talca");
        addGroup("c", "curico");
        chooser_.update(state_);
    }

    auto addGroup(const std::string &id, const std::string &zone)->void
    {
        auto announced = Announcement{};
        announced.upstream_ = UpstreamId("u-" + id);
        announced.zone_ = ZoneName(zone);
        state_.upstreams_[announced.upstream_] = Upstream{announced, EntryId("e1"), false, false};
        state_.groups_[GroupId(id)] = Group{.id_ = GroupId(id),
                                            .pool_ = pool_,
                                            .zone_ = ZoneName(zone),
                                            .epoch_ = 1,
                                            .fencing_ = 1,
                                            .members_ = {announced.upstream_},
                                            .phase_ = GroupPhase::Serving,
                                            .leaseholder_ = EntryId("e1"),
                                            .leaseNumber_ = 1};
    }

    auto reportLoad(const std::string &group, std::uint32_t inUse, std::uint32_t limit = 10)->void
    {
        chooser_.updateLoad(GroupLoad{GroupId(group), 1, inUse, limit, false});
    }

    auto reportLoads(std::uint32_t inUseA, std::uint32_t inUseB, std::uint32_t inUseC)->void
    {
        reportLoad("a", inUseA);
        reportLoad("b", inUseB);
        reportLoad("c", inUseC);
    }

    auto chosen(const GroupChoiceRequest &request) const->std::string
    {
        const auto choice = chooser_.choose(request, index_);
        return choice ? choice->group_.text() : "none";
    }

    auto chosen() const->std::string
    {
        return chosen({pool_, {}, 5, {}});
    }
};

TEST(GroupChooser, groupLoads_choose_takesTheLeastLoadedAndPrefersTheOwnZoneWithinAMargin)
{
    struct Case
    {
        std::uint32_t inUseA_;
        std::uint32_t inUseB_;
        std::uint32_t inUseC_;
        const char *expected_;
    };
    for (const auto &testCase :
         {Case{5, 4, 9, "b"}, Case{4, 5, 9, "a"}, Case{5, 6, 4, "a"}, Case{7, 6, 4, "c"},
          Case{10, 10, 9, "c"}, Case{10, 10, 10, "none"}}) {
        reportLoads(testCase.inUseA_, testCase.inUseB_, testCase.inUseC_);
        STRCMP_EQUAL(testCase.expected_, chosen().c_str());
    }
}

TEST(GroupChooser, permitsTakenSinceTheReport_choose_countsThem)
{
    reportLoads(4, 5, 9);
    chooser_.permitRequested(GroupId("a"));
    chooser_.permitRequested(GroupId("a"));
    STRCMP_EQUAL("b", chosen().c_str());
    chooser_.permitEnded(GroupId("a"));
    chooser_.permitEnded(GroupId("a"));
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(GroupChooser, cachedPrefix_choose_isPreferredWithinTheMarginOnly)
{
    const auto chain = prefixChain(std::string(1024, 'x'));
    index_.recordRequest(chain, GroupId("b"));
    const auto request = GroupChoiceRequest{pool_, chain, 5, {}};
    reportLoads(4, 6, 9);
    STRCMP_EQUAL("b", chosen(request).c_str());
    reportLoads(4, 7, 9);
    STRCMP_EQUAL("a", chosen(request).c_str());
    reportLoads(10, 10, 9);
    STRCMP_EQUAL("c", chosen(request).c_str());
}

TEST(GroupChooser, groupsThatMayGetNoRequests_choose_leavesThemOut)
{
    const auto initialState = state_;
    reportLoads(1, 2, 3);
    const auto changes = std::vector<std::function<void()>>{
        [&] { state_.groups_.at(GroupId("a")).phase_ = GroupPhase::Draining; },
        [&] { state_.groups_.at(GroupId("a")).leaseholder_ = EntryId{}; },
        [&] { state_.upstreams_.at(UpstreamId("u-a")).lost_ = true; },
        [&] { state_.upstreams_.at(UpstreamId("u-a")).draining_ = true; },
        [&] { state_.upstreams_.at(UpstreamId("u-a")).announced_.leaving_ = true; },
        [&] {
            state_.groups_.at(GroupId("a")).leaseholder_ = EntryId("e2");
            state_.entries_.at(EntryId("e2")).phase_ = EntryPhase::Lost;
        }};
    for (const auto &change : changes) {
        state_ = initialState;
        change();
        chooser_.update(state_);
        STRCMP_EQUAL("b", chosen().c_str());
    }
    state_ = initialState;
    state_.zonesOut_.insert(ZoneName("talca"));
    chooser_.update(state_);
    STRCMP_EQUAL("c", chosen().c_str());
    state_.zonesOut_.insert(ZoneName("curico"));
    chooser_.update(state_);
    CHECK_FALSE(chooser_.hasRoutableGroup(pool_));
}

TEST(GroupChooser, lowPriority_choose_leavesReservedCapacityFree)
{
    reportLoads(9, 10, 10);
    STRCMP_EQUAL("none", chosen({pool_, {}, 2, {}}).c_str());
    STRCMP_EQUAL("a", chosen().c_str());
    STRCMP_EQUAL("none", chosen({pool_, {}, 5, {GroupId("a")}}).c_str());
}

TEST(GroupChooser, newLease_update_forgetsTheLoad)
{
    reportLoads(10, 10, 10);
    state_.groups_.at(GroupId("a")).leaseNumber_ = 2;
    chooser_.update(state_);
    reportLoad("b", 10);
    reportLoad("c", 10);
    STRCMP_EQUAL("a", chosen().c_str());
    reportLoad("a", 10);
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST_GROUP(PrefixIndex)
{
    PrefixIndex index_{16};
    GroupId a_{"a"};
    GroupId b_{"b"};
    PrefixChain chain_ = {1, 2, 3};
};

TEST(PrefixIndex, promptsWithACommonPrefix_prefixChain_shareItsBlocks)
{
    const auto first = prefixChain(std::string(512, 'x') + std::string(300, 'y'));
    const auto second = prefixChain(std::string(512, 'x') + std::string(300, 'z'));
    UNSIGNED_LONGS_EQUAL(3, first.size());
    CHECK(first[1] == second[1] && first[2] != second[2]);
}

TEST(PrefixIndex, routedRequests_match_countsLeadingBlocks)
{
    index_.recordRequest(chain_, a_);
    index_.recordRequest({1, 2}, b_);
    CHECK((index_.match(chain_) == std::map<GroupId, std::size_t>{{a_, 3}, {b_, 2}}));
    CHECK(index_.match({2, 3}).at(a_) == 2);
    CHECK(index_.match({9, 1, 2}).empty());
}

TEST(PrefixIndex, cacheEvents_applyCacheEvent_forgetsTheGroupAfterAGapAndIgnoresOldEvents)
{
    index_.applyCacheEvent(a_, 1, 1, {1, 2}, {});
    index_.applyCacheEvent(a_, 1, 2, {3}, {});
    UNSIGNED_LONGS_EQUAL(3, index_.match(chain_).at(a_));
    index_.applyCacheEvent(a_, 1, 1, {}, {1});
    UNSIGNED_LONGS_EQUAL(3, index_.match(chain_).at(a_));
    index_.applyCacheEvent(a_, 1, 3, {}, {3});
    UNSIGNED_LONGS_EQUAL(2, index_.match(chain_).at(a_));
    index_.applyCacheEvent(a_, 1, 5, {1}, {});
    UNSIGNED_LONGS_EQUAL(1, index_.match(chain_).at(a_));
    index_.applyCacheEvent(a_, 2, 1, {}, {});
    CHECK(index_.match(chain_).empty());
}

TEST(PrefixIndex, moreBlocksThanTheCapacity_recordRequest_evictsTheLeastRecentlyUsed)
{
    index_.recordRequest({100}, a_);
    for (auto hash = std::uint64_t{0}; hash < 15; ++hash)
        index_.recordRequest({hash}, a_);
    index_.recordRequest({100}, a_);
    index_.recordRequest({200}, a_);
    UNSIGNED_LONGS_EQUAL(16, index_.size());
    CHECK(index_.match({0}).empty());
    CHECK_FALSE(index_.match({100}).empty());
}

TEST(GroupChooser, groupsOfAPool_chooseGroup_takesTheNamedOneWhileItHasCapacity)
{
    CHECK_EQUAL(3, chooser_.routableGroups(pool_).size());
    CHECK(chooser_.routableGroups(PoolName("other")).empty());
    reportLoads(0, 9, 10);
    STRCMP_EQUAL("b", chooser_.chooseGroup(GroupId("b"), 5)->group_.text().c_str());
    CHECK_FALSE(chooser_.chooseGroup(GroupId("c"), 5).has_value());
    CHECK_FALSE(chooser_.chooseGroup(GroupId("none"), 5).has_value());
}

TEST(GroupChooser, ejectedGroup_choose_leavesItOutUntilItsNextLease)
{
    reportLoads(0, 5, 5);
    chooser_.setEjected(GroupId("a"), true);
    STRCMP_EQUAL("b", chosen().c_str());
    chooser_.update(state_);
    STRCMP_EQUAL("b", chosen().c_str());
    state_.groups_.at(GroupId("a")).leaseNumber_ = 2;
    chooser_.update(state_);
    reportLoad("b", 10);
    reportLoad("c", 10);
    STRCMP_EQUAL("a", chosen().c_str());
}
