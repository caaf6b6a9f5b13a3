#include "forward/TargetTable.h"

#include "forward/ForwardSettings.h"

#include "state/FleetState.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TargetTable)
{
    MonotonicTime now_{seconds(100)};
    FleetState state_;
    PoolName pool_{"e/m"};
    TargetTable table_{EntryId("e"), ZoneName("a"), [] { return std::uint64_t{0}; }};

    auto setup()->void override
    {
        state_.declaration_.pools_ = {Pool{
            .name_ = pool_, .model_ = "m", .instancesPerGroup_ = 1, .engines_ = PoolName("e")}};
        state_.declaration_.profiles_
            = {UpstreamProfile{.name_ = PoolName("e"), .coldPerSecond_ = 4, .slots_ = 8}};
        addGroup("u1", "a");
        addGroup("u2", "a");
        table_.update(state_);
    }

    auto addGroup(const std::string &id, const std::string &zone)->void
    {
        const auto group = GroupId("g-" + id);
        const auto upstream = UpstreamId(id);
        auto announced = Announcement{.upstream_ = upstream,
                                      .incarnation_ = 1,
                                      .address_ = id + ":1",
                                      .zone_ = ZoneName(zone),
                                      .pool_ = PoolName("e"),
                                      .cold_ = false,
                                      .group_ = group,
                                      .epoch_ = 1,
                                      .phase_ = MemberPhase::Open};
        state_.upstreams_[upstream] = Upstream{announced, EntryId("c"), false, false};
        state_.groups_[group] = Group{.id_ = group,
                                      .pool_ = pool_,
                                      .zone_ = ZoneName(zone),
                                      .epoch_ = 1,
                                      .members_ = {upstream},
                                      .phase_ = GroupPhase::Serving};
        state_.groupOf_[upstream] = group;
    }

    /// Leaves only u1, which is cold and limited to \a perSecond, with ample slots.
    auto keepOnlyOneColdUpstream(double perSecond)->void
    {
        state_.declaration_.profiles_ = {
            UpstreamProfile{.name_ = PoolName("e"), .coldPerSecond_ = perSecond, .slots_ = 1000}};
        state_.groups_.erase(GroupId("g-u2"));
        state_.upstreams_.at(UpstreamId("u1")).announced_.cold_ = true;
    }

    auto addEntries(int count)->void
    {
        for (auto i = 0; i < count; ++i) {
            const auto entry = EntryId("e" + std::to_string(i));
            state_.entries_[entry] = EntryRecord{.id_ = entry};
        }
    }

    /// How many requests \a entries together can place within one second.
    auto countChosenByAllEntries(int entries)->int
    {
        auto chosen = 0;
        for (auto i = 0; i < entries; ++i) {
            auto table = TargetTable(EntryId("e" + std::to_string(i)), ZoneName("a"),
                                     [] { return std::uint64_t{0}; });
            table.update(state_);
            while (table.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 1000}, now_))
                ++chosen;
        }
        return chosen;
    }

    auto choose(const std::set<UpstreamId> &avoid = {})->std::string
    {
        const auto target = table_.choose(pool_, avoid, AdmissionLimit{.maxWaiting_ = 3}, now_);
        return target ? target->upstream_.text() : "";
    }
};

TEST(TargetTable, requestsInProgress_choose_spreadsThem)
{
    CHECK(choose() != choose());
}

TEST(TargetTable, anUpstreamThatFailedTheRequest_choose_takesAnother)
{
    CHECK(choose({UpstreamId("u1")}) == "u2");
    CHECK(choose({UpstreamId("u1")}) == "u2");
}

TEST(TargetTable, aGroupThatIsNotOpen_choose_skipsIt)
{
    state_.upstreams_.at(UpstreamId("u1")).announced_.phase_ = MemberPhase::Ready;
    table_.update(state_);
    CHECK(choose() == "u2");
    CHECK(choose() == "u2");
}

TEST(TargetTable, aZoneTakenOut_choose_findsNoTargetThere)
{
    state_.zonesOut_.insert(ZoneName("a"));
    table_.update(state_);
    CHECK(choose().empty());
}

TEST(TargetTable, aColdUpstream_choose_staysWithinItsLimitPerSecond)
{
    for (auto &[id, upstream] : state_.upstreams_)
        upstream.announced_.cold_ = true;
    table_.update(state_);
    for (auto i = 0; i < 8; ++i)
        CHECK_FALSE(choose().empty());
    CHECK(choose().empty());
    now_ += milliseconds(1001);
    CHECK_FALSE(choose().empty());
}

TEST(TargetTable, aStreamWithoutEvents_collectStalled_returnsItsTargetAndDeprioritizesIt)
{
    const auto target = table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    table_.recordProgress(*target, now_);
    now_ += milliseconds(299);
    CHECK(table_.collectStalled(now_).empty());
    now_ += milliseconds(1);
    CHECK(table_.collectStalled(now_).front() == *target);
    CHECK(choose() != target->upstream_.text());
    CHECK(table_.collectStalled(now_).empty());
}

TEST(TargetTable, oneStreamProgressesWhileOthersWait_collectStalled_returnsNothing)
{
    const auto target = table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    for (auto i = 0; i < 20; ++i) {
        now_ += milliseconds(200);
        table_.recordProgress(*target, now_);
        CHECK(table_.collectStalled(now_).empty());
    }
}

/// Traffic pattern: more requests than all groups can serve, for longer than a queue could absorb.
TEST(TargetTable, allGroupsAreFull_choose_refusesInsteadOfQueueing)
{
    for (const auto *id : {"u1", "u2"}) {
        const auto target
            = table_.choose(pool_, {UpstreamId(id == std::string("u1") ? "u2" : "u1")},
                            AdmissionLimit{.maxWaiting_ = 3}, now_);
        table_.recordLoad(*target, ReportedLoad{8, 3, 8}, now_);
    }
    CHECK(choose().empty());
}

TEST(TargetTable, oneGroupIsFull_choose_takesTheOther)
{
    const auto target
        = table_.choose(pool_, {UpstreamId("u2")}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    table_.recordLoad(*target, ReportedLoad{8, 3, 8}, now_);
    for (auto i = 0; i < 5; ++i)
        CHECK(choose() == "u2");
}

TEST(TargetTable, requestsEndSinceTheReport_choose_countsTheFreedSlots)
{
    const auto first
        = table_.choose(pool_, {UpstreamId("u2")}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    table_.recordLoad(*first, ReportedLoad{8, 3, 8}, now_);
    table_.release(*first, TargetOutcome::Responded, now_);
    CHECK(choose({UpstreamId("u2")}) == "u1");
}

TEST(TargetTable, aStreamIsSilentForTwoEngineSteps_collectSuspects_returnsTheGroupOncePerInterval)
{
    const auto target = table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    table_.recordProgress(*target, now_);
    CHECK(table_.collectSuspects(now_ + milliseconds(150)).empty());
    CHECK(table_.collectSuspects(now_ + milliseconds(210)) == std::vector{*target});
    CHECK(table_.collectSuspects(now_ + milliseconds(300)).empty());
    CHECK(table_.collectSuspects(now_ + milliseconds(520)) == std::vector{*target});
    CHECK(table_.collectStalled(now_ + milliseconds(210)).empty());
}

TEST(TargetTable, noStreamHasBegun_collectSuspects_allowsTimeInTheEngineQueue)
{
    const auto target = table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    CHECK(table_.collectSuspects(now_ + milliseconds(800)).empty());
    CHECK(table_.collectSuspects(now_ + milliseconds(900)) == std::vector{*target});
}

TEST(TargetTable, progressIsAwaited_recordProgress_returnsTrueOnce)
{
    const auto target = table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    CHECK_FALSE(table_.recordProgress(*target, now_));
    table_.notifyOnNextProgress(target->upstream_, now_);
    CHECK(table_.recordProgress(*target, now_ + milliseconds(100)));
    CHECK_FALSE(table_.recordProgress(*target, now_ + milliseconds(110)));
    table_.notifyOnNextProgress(target->upstream_, now_);
    CHECK_FALSE(table_.recordProgress(*target, now_ + seconds(1)));
}

TEST(TargetTable, anUpstreamSentEvents_servedAgo_countsFromThem)
{
    const auto target = table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    CHECK(table_.timeSinceProgress(target->upstream_, now_) == std::nullopt);
    table_.recordProgress(*target, now_);
    CHECK(table_.timeSinceProgress(target->upstream_, now_ + milliseconds(70)) == milliseconds(70));
    CHECK(table_.timeSinceProgress(UpstreamId("other"), now_) == std::nullopt);
}

/// Failure: streams that break under overload find no upstream with capacity to continue.
TEST(TargetTable, allGroupsAreFullForNewRequests_choose_admitsARetry)
{
    for (const auto *id : {"u1", "u2"}) {
        const auto *other = id == std::string("u1") ? "u2" : "u1";
        const auto target
            = table_.choose(pool_, {UpstreamId(other)}, AdmissionLimit{.maxWaiting_ = 3}, now_);
        table_.recordLoad(*target, ReportedLoad{8, 3, 8}, now_);
    }
    CHECK(table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 3}, now_) == std::nullopt);
    CHECK(table_.choose(pool_, {}, AdmissionLimit{.maxWaiting_ = 10}, now_) != std::nullopt);
}

TEST(TargetTable, nothingListensAtAnUpstream_choose_skipsItEvenWithoutAlternative)
{
    const auto target
        = table_.choose(pool_, {UpstreamId("u2")}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    table_.release(*target, TargetOutcome::Unavailable, now_);
    CHECK(choose({UpstreamId("u2")}) == "u2");
    CHECK(choose({UpstreamId("u2")}) == "u2");
    now_ += milliseconds(500);
    CHECK(choose({UpstreamId("u2")}) == "u1");
}

TEST(TargetTable, anUpstreamRestarts_choose_usesItAtOnce)
{
    const auto target
        = table_.choose(pool_, {UpstreamId("u2")}, AdmissionLimit{.maxWaiting_ = 3}, now_);
    table_.release(*target, TargetOutcome::Unavailable, now_);
    state_.upstreams_.at(UpstreamId("u1")).announced_.incarnation_ = 2;
    table_.update(state_);
    CHECK(choose({UpstreamId("u2")}) == "u1");
}

/// Failure: a group loses a member during planned work while all other groups are busy.
TEST(TargetTable, allEnginesHaveLongQueues_choose_admitsABrokenStream)
{
    for (const auto *id : {"u1", "u2"}) {
        const auto *other = id == std::string("u1") ? "u2" : "u1";
        const auto target
            = table_.choose(pool_, {UpstreamId(other)}, AdmissionLimit{.maxWaiting_ = 3}, now_);
        table_.recordLoad(*target, ReportedLoad{8, 40, 8}, now_);
    }
    const auto again = ForwardSettings().retryLimit_;
    CHECK(table_.choose(pool_, {UpstreamId("u1")}, again, now_) != std::nullopt);
}

/// Traffic pattern: all processes restart at once; held requests arrive together with new ones.
TEST(TargetTable, heldRequests_choose_leaveCapacityForNewRequests)
{
    const auto held = ForwardSettings().heldRequestLimit_;
    auto heldSent = 0;
    while (table_.choose(pool_, {}, held, now_) && heldSent < 1000)
        ++heldSent;
    auto newSent = 0;
    while (!choose().empty() && newSent < 1000)
        ++newSent;
    CHECK(heldSent > 0);
    CHECK(newSent >= heldSent);
}

// Guards against requests to a first member that is leaving (DRAIN): the record that closes its
// group follows later.
TEST(TargetTable, aFirstMemberLeaves_choose_skipsItsGroup)
{
    state_.upstreams_.at(UpstreamId("u1")).announced_.leaving_ = true;
    table_.update(state_);
    CHECK(choose() == "u2");
    CHECK(choose() == "u2");
}

// Guards against overloading a cold upstream (FAILBACK): with more entries than requests per second
// in its limit, a share of at least one for each entry would exceed the limit.
TEST(TargetTable, moreEntriesThanAColdUpstreamCarries_choose_staysWithinItsLimitTogether)
{
    constexpr auto entries = 67;
    keepOnlyOneColdUpstream(15);
    addEntries(entries);
    LONGS_EQUAL(15, countChosenByAllEntries(entries));
}

// Guards against overloading a cold upstream (FAILBACK), and against a part of its limit that no
// entry uses.
TEST(TargetTable, aLimitThatDoesNotDivideEvenly_choose_usesTheWholeLimitTogether)
{
    constexpr auto entries = 8;
    keepOnlyOneColdUpstream(38);
    addEntries(entries);
    LONGS_EQUAL(38, countChosenByAllEntries(entries));
}

/// Failure: many engines slow down at once, so that each step of every group takes longer than the
/// timeout after which a group counts as stalled.
TEST(TargetTable, allGroupsAreSilent_chooseAlternative_findsNoneToMoveStreamsTo)
{
    const auto again = ForwardSettings().retryLimit_;
    const auto first = *table_.choose(pool_, {}, again, now_);
    const auto second = *table_.choose(pool_, {first.upstream_}, again, now_);
    table_.recordProgress(first, now_);
    table_.recordProgress(second, now_);
    const auto alternative = table_.chooseAlternative(first, again, now_);
    CHECK(alternative == second);
    table_.release(*alternative, TargetOutcome::Responded, now_);
    now_ += milliseconds(400);
    LONGS_EQUAL(2, table_.collectStalled(now_).size());
    CHECK_FALSE(table_.chooseAlternative(first, again, now_));
    CHECK_FALSE(table_.chooseAlternative(second, again, now_));
}

TEST(TargetTable, theOtherGroupFailedARequest_chooseAlternative_stillFindsIt)
{
    const auto again = ForwardSettings().retryLimit_;
    const auto first = *table_.choose(pool_, {}, again, now_);
    const auto second = *table_.choose(pool_, {first.upstream_}, again, now_);
    table_.release(second, TargetOutcome::Failed, now_);
    CHECK(table_.chooseAlternative(first, again, now_) == second);
}

// Guards against moving all streams of a silent group to another one that has room for a few of
// them only, so that the rest is broken off (LOST).
TEST(TargetTable, theOtherGroupIsColdAndLimited_chooseAlternative_reservesItUpToItsLimit)
{
    state_.upstreams_[UpstreamId("u2")].announced_.cold_ = true;
    table_.update(state_);
    const auto again = ForwardSettings().retryLimit_;
    const auto first = ForwardTarget{UpstreamId("u1"), 1, "u1:1", pool_, ZoneName("a")};
    auto reserved = 0;
    while (reserved < 100 && table_.chooseAlternative(first, again, now_))
        ++reserved;
    LONGS_EQUAL(4, reserved);
}

// Guards against requests with one suspect that crash an upstream for each entry (BUDGET).
TEST(TargetTable, severalEntriesWithOneSuspect_chooseIsolated_reserveTheSameUpstream)
{
    for (auto i = 3; i < 12; ++i)
        addGroup("u" + std::to_string(i), "a");
    const auto limit = ForwardSettings().newRequestLimit_;
    auto other = TargetTable(EntryId("f"), ZoneName("b"), [] { return std::uint64_t{7}; });
    table_.update(state_);
    other.update(state_);
    for (auto i = 0; i < 5; ++i)
        static_cast<void>(other.choose(pool_, {}, limit, now_));
    const auto first = *table_.chooseIsolated(pool_, {}, limit, "part-1", now_);
    CHECK(other.chooseIsolated(pool_, {}, limit, "part-1", now_) == first);
    const auto next = *table_.chooseIsolated(pool_, {first.upstream_}, limit, "part-1", now_);
    CHECK(next != first);
    CHECK(other.chooseIsolated(pool_, {first.upstream_}, limit, "part-1", now_) == next);
}

TEST(TargetTable, noUpstreamLeft_chooseIsolated_findsNone)
{
    const auto limit = ForwardSettings().newRequestLimit_;
    const auto avoid = std::set{UpstreamId("u1"), UpstreamId("u2")};
    CHECK_FALSE(table_.chooseIsolated(pool_, avoid, limit, "part-1", now_));
    CHECK_FALSE(table_.chooseIsolated(PoolName("none"), {}, limit, "part-1", now_));
}

// Guards against reservations that are never used and leave no room at a cold upstream.
TEST(TargetTable, unusedReservationsAtAColdUpstream_choose_stillFindsIt)
{
    state_.upstreams_[UpstreamId("u2")].announced_.cold_ = true;
    table_.update(state_);
    const auto again = ForwardSettings().retryLimit_;
    const auto first = ForwardTarget{UpstreamId("u1"), 1, "u1:1", pool_, ZoneName("a")};
    for (auto i = 0; i < 20; ++i) {
        const auto reserved = table_.chooseAlternative(first, again, now_);
        CHECK(reserved.has_value());
        table_.release(*reserved, TargetOutcome::Unused, now_);
    }
}
