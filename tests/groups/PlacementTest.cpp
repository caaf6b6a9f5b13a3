#include "groups/Placement.h"
#include "groups/EngineOrder.h"
#include "groups/LeaseholderChoice.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

auto instance(const std::string &id, const std::string &domain, bool hasWeights = false,
              std::uint32_t accelerators = 8) -> FreeInstance
{
    return {UpstreamId(id), ZoneName("talca"), FabricDomain(domain),
            accelerators,   hasWeights,        false};
}

auto concatenate(const std::vector<UpstreamId> &members) -> std::string
{
    auto text = std::string{};
    for (const auto &member : members)
        text += member.text();
    return text;
}

auto placedPair(const std::vector<FreeInstance> &free) -> std::string
{
    const auto group = placeGroup(free, 2);
    return group ? concatenate(group->members_) : "none";
}

} // namespace

TEST_GROUP(Placement){};

TEST(Placement, freeInstances_placeGroup_takesTheBestOfOneDomain)
{
    // No domain has two free instances.
    STRCMP_EQUAL("none", placedPair({instance("a", "x"), instance("b", "y")}).c_str());
    STRCMP_EQUAL("bc",
                 placedPair({instance("a", "x"), instance("b", "y"), instance("c", "y")}).c_str());
    // Instances that hold the weights are preferred.
    STRCMP_EQUAL("cd",
                 placedPair({instance("a", "x"), instance("b", "x"), instance("c", "x", true),
                             instance("d", "x", true)})
                     .c_str());
    // Instances with equal accelerators are preferred, even without the weights.
    STRCMP_EQUAL("ac",
                 placedPair({instance("a", "x", false, 8), instance("b", "x", true, 4),
                             instance("c", "x", false, 8)})
                     .c_str());
    // The domain that keeps a spare is preferred.
    STRCMP_EQUAL("cd",
                 placedPair({instance("a", "x"), instance("b", "x"), instance("c", "y"),
                             instance("d", "y"), instance("e", "y")})
                     .c_str());
}

TEST(Placement, domainsThatMayCross_placeGroup_joinsTheFewestOfOneZone)
{
    auto free = std::vector{instance("a", "x"), instance("b", "y"), instance("c", "z")};
    free[2].zone_ = ZoneName("curico");
    for (auto &candidate : free)
        candidate.mayCrossDomains_ = true;
    const auto group = placeGroup(free, 2);
    CHECK(group.has_value() && group->acrossDomains_);
    STRCMP_EQUAL("ab", concatenate(group->members_).c_str());
    CHECK_FALSE(placeGroup(free, 3).has_value());
}

TEST(Placement, sparesOfSeveralDomains_placeSpare_takesTheSameDomainWithWeights)
{
    const auto free = std::vector{instance("a", "x", true), instance("b", "y"),
                                  instance("c", "y", true), instance("d", "y", true, 4)};
    STRCMP_EQUAL("c", placeSpare(free, FabricDomain("y"), 8)->text().c_str());
    CHECK_FALSE(placeSpare(free, FabricDomain("w"), 8).has_value());
}

TEST_GROUP(LeaseholderChoice)
{
    FleetState state_;
    std::set<EntryId> live_;

    auto setup()->void override
    {
        for (const auto *name : {"t1", "t2", "t3", "c1", "c2", "c3"}) {
            const auto zone = ZoneName(name[0] == 't' ? "talca" : "curico");
            const auto id = EntryId(name);
            state_.entries_[id] = EntryRecord{id, 1, zone, "", "", EntryPhase::Live, false};
            live_.insert(id);
        }
    }

    auto first(const std::string &key) const->EntryId
    {
        return rankEntries(state_, live_, key, ZoneName("talca")).front();
    }
};

TEST(LeaseholderChoice, anEntryIsGone_rankEntries_movesItsOwnKeysOnly)
{
    const auto gone = EntryId("t2");
    for (auto key = 0; key < 100; ++key) {
        live_.insert(gone);
        const auto before = first(std::to_string(key));
        CHECK_EQUAL('t', before.text()[0]);
        live_.erase(gone);
        const auto after = first(std::to_string(key));
        CHECK(before == gone ? after != gone : after == before);
    }
}

TEST(LeaseholderChoice, theZoneOut_rankEntries_prefersOtherZones)
{
    state_.zonesOut_.insert(ZoneName("talca"));
    CHECK_EQUAL('c', first("group").text()[0]);
    UNSIGNED_LONGS_EQUAL(6, rankEntries(state_, live_, "group", ZoneName("talca")).size());
}

TEST(LeaseholderChoice, aMemberOfAGroup_announceTo_namesTheLeaseholderFirst)
{
    auto &group = state_.groups_[GroupId("g")];
    group.leaseholder_ = EntryId("c3");
    state_.groupOf_[UpstreamId("u")] = GroupId("g");
    const auto member = announcementTargets(state_, live_, UpstreamId("u"), ZoneName("talca"));
    CHECK(member.front() == EntryId("c3"));
    UNSIGNED_LONGS_EQUAL(6, member.size());
}

TEST_GROUP(EngineOrder){};

TEST(EngineOrder, everyKind_orderBody_hasTheKeysOfTheProtocol)
{
    auto order = EngineOrder{UpstreamId("u"),
                             "10.0.0.1:80",
                             OrderKind::Join,
                             GroupId("g"),
                             3,
                             1,
                             {{UpstreamId("u"), "10.0.0.1:80"}},
                             "large",
                             9};
    STRCMP_EQUAL(R"({"epoch":3,"group":"g","members":[{"address":"10.0.0.1:80","upstream":"u"}],)"
                 R"("model":"large","order":"join","rank":1})",
                 encodeOrderBody(order).dump().c_str());
    order.kind_ = OrderKind::Leave;
    STRCMP_EQUAL(R"({"epoch":3,"group":"g","order":"leave"})",
                 encodeOrderBody(order).dump().c_str());
    order.kind_ = OrderKind::Load;
    STRCMP_EQUAL(R"({"model":"large","order":"load"})", encodeOrderBody(order).dump().c_str());
}
