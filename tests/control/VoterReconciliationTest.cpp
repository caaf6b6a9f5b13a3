#include "control/VoterReconciliation.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(VoterReconciliation)
{
    EntryId a_{"a"};
    EntryId b_{"b"};
    EntryId c_{"c"};
    EntryId d_{"d"};
    VoterView view_{
        .voters_ = {EntryId("a"), EntryId("b"), EntryId("c")},
        .targetSize_ = 3,
    };
};

TEST(VoterReconciliation, allVotersAnswer_next_changesNothing)
{
    CHECK_FALSE(nextVoterChange(view_).has_value());
}

TEST(VoterReconciliation, aVoterWithAnEmptyDisk_next_isRemovedAndThenAdded)
{
    view_.wiped_ = {b_};
    CHECK(nextVoterChange(view_) == (VoterChange{std::nullopt, b_, VoterChangeReason::EmptyDisk}));
    view_.voters_.erase(b_);
    view_.wiped_.clear();
    view_.ready_ = {b_};
    CHECK(nextVoterChange(view_)
          == (VoterChange{b_, std::nullopt, VoterChangeReason::TooFewVoters}));
}

TEST(VoterReconciliation, aSilentVoterWithoutReplacement_next_isKept)
{
    view_.silent_ = {c_};
    CHECK_FALSE(nextVoterChange(view_).has_value());
}

TEST(VoterReconciliation, aSilentVoterWithAReplacement_next_isReplaced)
{
    view_.ready_ = {d_};
    view_.silent_ = {c_};
    CHECK(nextVoterChange(view_) == (VoterChange{std::nullopt, c_, VoterChangeReason::Silent}));
    view_.voters_.erase(c_);
    view_.silent_.clear();
    CHECK(nextVoterChange(view_)
          == (VoterChange{d_, std::nullopt, VoterChangeReason::TooFewVoters}));
}

namespace {

/// A control instance named by its zone and a number, `a1`.
auto zoneOfName(const EntryId &id) -> ZoneName
{
    return ZoneName(id.text().substr(0, 1));
}

auto ids(const std::set<std::string> &names) -> std::set<EntryId>
{
    auto result = std::set<EntryId>{};
    for (const auto &name : names)
        result.insert(EntryId(name));
    return result;
}

/// A view in which all instances are registered.
auto zonedView(const std::set<std::string> &voters, const std::set<std::string> &ready) -> VoterView
{
    auto view = VoterView{.voters_ = ids(voters), .ready_ = ids(ready), .targetSize_ = 3};
    for (const auto *group : {&view.voters_, &view.ready_}) {
        for (const auto &id : *group)
            view.zones_.emplace(id, zoneOfName(id));
    }
    view.leader_ = *view.voters_.begin();
    return view;
}

/// \a view after \a change; who is removed becomes ready unless it is silent.
auto after(VoterView view, const VoterChange &change) -> VoterView
{
    if (change.add_) {
        view.voters_.insert(*change.add_);
        view.ready_.erase(*change.add_);
    } else {
        view.voters_.erase(*change.remove_);
        if (view.silent_.erase(*change.remove_) == 0)
            view.ready_.insert(*change.remove_);
    }
    return view;
}

/// The losses of one machine or of one zone after which a majority of the voters still answers.
auto borneLosses(const VoterView &view) -> std::set<std::string>
{
    auto names = std::set<std::string>{};
    for (const auto &[id, zone] : view.zones_)
        names.insert({id.text(), zone.text()});
    auto borne = std::set<std::string>{};
    for (const auto &lost : names) {
        const auto answers
            = std::count_if(view.voters_.begin(), view.voters_.end(), [&](const EntryId &voter) {
                  return voter.text() != lost && zoneOfName(voter).text() != lost
                      && !view.silent_.contains(voter);
              });
        if (static_cast<std::size_t>(answers) > view.voters_.size() / 2)
            borne.insert(lost);
    }
    return borne;
}

/// The votes of the zone with the most minus those of the zone with the fewest that has an instance
/// which could have one more.
auto greatestDifference(const VoterView &view) -> std::size_t
{
    auto votes = std::map<ZoneName, std::size_t>{};
    for (const auto &voter : view.voters_)
        ++votes[zoneOfName(voter)];
    auto most = std::size_t{0};
    for (const auto &[zone, count] : votes)
        most = std::max(most, count);
    auto fewest = most;
    for (const auto &id : view.ready_)
        fewest = std::min(fewest, votes[zoneOfName(id)]);
    return most - fewest;
}

} // namespace

TEST_GROUP(VoterZones){};

/// Guards against a vote that goes to the least address, in a zone that has one already.
TEST(VoterZones, anInstanceOfAZoneWithoutAVote_next_isAddedBeforeOneOfLeastAddress)
{
    const auto view = zonedView({"a1", "b1"}, {"a2", "c1"});
    CHECK(nextVoterChange(view)
          == (VoterChange{EntryId("c1"), std::nullopt, VoterChangeReason::TooFewVoters}));
}

/// Guards against two voters that stay in one zone after the voter of another zone has returned.
TEST(VoterZones, aVoterReturnsWhoseVoteWentToAnotherZone_next_isAddedAndThenTakesItsVoteBack)
{
    auto view = zonedView({"a1", "a2", "b1"}, {"c1"});
    auto change = nextVoterChange(view);
    CHECK(change == (VoterChange{EntryId("c1"), std::nullopt, VoterChangeReason::UnevenZones}));
    view = after(view, *change);
    change = nextVoterChange(view);
    CHECK(change == (VoterChange{std::nullopt, EntryId("a2"), VoterChangeReason::TooManyVoters}));
    CHECK_FALSE(nextVoterChange(after(view, *change)).has_value());
}

/// Guards against a leader that gives up its vote, and with it its lead, for a move.
TEST(VoterZones, theLeaderIsOneOfTwoVotersInAZone_next_removesTheOther)
{
    auto view = zonedView({"a1", "a2", "b1", "c1"}, {});
    view.leader_ = EntryId("a2");
    CHECK(nextVoterChange(view)->remove_ == EntryId("a1"));
}

/// Guards against voters beyond the wanted number, left by a leader that ended within a move.
TEST(VoterZones, moreVotersThanWantedAndASilentOne_next_removesTheSilentOne)
{
    auto view = zonedView({"a1", "a2", "b1", "c1"}, {"b2"});
    view.silent_ = ids({"c1"});
    CHECK(nextVoterChange(view)
          == (VoterChange{std::nullopt, EntryId("c1"), VoterChangeReason::TooManyVoters}));
}

TEST(VoterZones, twoSilentVotersAndOneReplacement_next_removesTheOneWithAReplacementInItsZone)
{
    auto view = zonedView({"a1", "b1", "c1", "d1", "e1"}, {"d2"});
    view.targetSize_ = 5;
    view.silent_ = ids({"b1", "d1"});
    CHECK(nextVoterChange(view)
          == (VoterChange{std::nullopt, EntryId("d1"), VoterChangeReason::Silent}));
}

TEST(VoterZones, voterThatIsNotRegistered_next_countsAsOneInAZoneOfItsOwn)
{
    auto view = zonedView({"a1", "b1", "x1"}, {"c1"});
    view.zones_.erase(EntryId("x1"));
    CHECK_FALSE(nextVoterChange(view).has_value());
}

TEST(VoterZones, allInstancesInOneZone_next_changesNothing)
{
    CHECK_FALSE(nextVoterChange(zonedView({"a1", "a2", "a3"}, {"a4"})).has_value());
}

/// Guards against moves that swing to and fro, that end unevenly, or that on their way bear the
/// loss of fewer machines or zones than the voters before.
TEST(VoterZones, anyVotersAndReadyInstances_next_endsEvenlyAndBearsNoLessAtEachStep)
{
    auto random = std::mt19937_64(1);
    for (auto round = 0; round < 2000; ++round) {
        auto voters = std::set<std::string>{};
        auto ready = std::set<std::string>{};
        const auto wanted = random() % 2 == 0 ? std::size_t{3} : std::size_t{5};
        const auto zones = 2 + random() % 3;
        const auto instances = wanted + random() % 5;
        for (std::size_t index = 0; index < instances; ++index) {
            const auto zone = std::string(1, static_cast<char>('a' + random() % zones));
            const auto name = zone + std::to_string(index);
            (index < wanted ? voters : ready).insert(name);
        }
        auto view = zonedView(voters, ready);
        view.targetSize_ = wanted;
        view.leader_ = *std::next(view.voters_.begin(), random() % wanted);
        auto steps = std::size_t{0};
        while (const auto change = nextVoterChange(view)) {
            const auto before = borneLosses(view);
            view = after(view, *change);
            const auto now = borneLosses(view);
            CHECK(std::includes(now.begin(), now.end(), before.begin(), before.end()));
            CHECK(view.voters_.contains(view.leader_));
            CHECK(++steps <= 2 * wanted);
        }
        LONGS_EQUAL(wanted, view.voters_.size());
        CHECK(greatestDifference(view) <= 1);
    }
}
