#include "routing/PermitTable.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PermitTable)
{
    EntryId self_{"e1"};
    EntryId other_{"e2"};
    GroupId group_{"g"};
    FleetState state_;
    PermitTable table_{EntryId("e1")};
    MonotonicTime now_{seconds(1000)};
    std::uint64_t attempts_ = 0;

    auto setup()->void override
    {
        for (const auto &id : {self_, other_})
            state_.entries_[id]
                = EntryRecord{id, 1, ZoneName("talca"), "", "", EntryPhase::Live, false};
        addGroup(group_);
        serve();
    }

    auto addGroup(const GroupId &id)->void
    {
        auto announced = Announcement{};
        announced.upstream_ = UpstreamId("u-" + id.text());
        announced.incarnation_ = 1;
        announced.zone_ = ZoneName("talca");
        state_.upstreams_[announced.upstream_] = Upstream{announced, self_, false, false};
        auto group = Group{};
        group.id_ = id;
        group.pool_ = PoolName("llm");
        group.zone_ = ZoneName("talca");
        group.epoch_ = 1;
        group.members_ = {announced.upstream_};
        group.phase_ = GroupPhase::Serving;
        group.leaseholder_ = self_;
        group.leaseNumber_ = 1;
        state_.groups_[id] = group;
    }

    auto serve()->void
    {
        table_.update(state_, now_);
        for (const auto &[id, group] : state_.groups_)
            table_.setServing(id, true);
    }

    auto upstream()->Upstream &
    {
        return state_.upstreams_.at(UpstreamId("u-g"));
    }

    auto report(const std::function<void(Announcement &)> &change)->void
    {
        change(upstream().announced_);
        table_.handleAnnouncement(upstream().announced_, now_);
    }

    auto take(const EntryId &entry)->std::variant<Permit, PermitRefusal>
    {
        return table_.grantPermit(group_, entry, AttemptId(std::to_string(++attempts_)), now_);
    }

    auto takeAll(const EntryId &entry)->std::vector<Permit>
    {
        auto permits = std::vector<Permit>{};
        for (auto answer = take(entry); std::holds_alternative<Permit>(answer);
             answer = take(entry))
            permits.push_back(std::get<Permit>(answer));
        return permits;
    }

    auto refusalReason()->RefusalReason
    {
        const auto answer = take(other_);
        CHECK(std::holds_alternative<PermitRefusal>(answer));
        return std::get<PermitRefusal>(answer).reason_;
    }

    auto finish(const Permit &permit, PermitOutcome outcome = PermitOutcome::Completed,
                Duration latency = milliseconds(100))
        ->void
    {
        table_.requestEnded(permit.group_, permit.leaseNumber_, permit.number_, outcome, latency,
                            now_);
    }

    auto start(const Permit &permit)->bool
    {
        return table_.requestStarted(permit.group_, permit.leaseNumber_, permit.number_, now_);
    }

    auto completeRequests(int count, Duration latency)->void
    {
        for (auto done = 0; done < count; ++done) {
            const auto answer = take(other_);
            finish(std::get<Permit>(answer), PermitOutcome::Completed, latency);
        }
    }
};

TEST(PermitTable, aColdUpstreamAtItsLimit_take_isRefused)
{
    UNSIGNED_LONGS_EQUAL(2, takeAll(other_).size());
    CHECK(refusalReason() == RefusalReason::Full);
}

TEST(PermitTable, announcedCapacity_take_grantsAsManyPermits)
{
    report([](Announcement &announced) { announced.carries_ = 5; });
    table_ = PermitTable(self_);
    serve();
    UNSIGNED_LONGS_EQUAL(5, takeAll(other_).size());
}

TEST(PermitTable, completedRequests_take_raisesTheLimitFromColdToWarm)
{
    report([](Announcement &announced) { announced.cold_ = false; });
    UNSIGNED_LONGS_EQUAL(2, table_.loads().front().limit_);
    completeRequests(4, milliseconds(100));
    UNSIGNED_LONGS_EQUAL(4, table_.loads().front().limit_);
    completeRequests(60, milliseconds(100));
    UNSIGNED_LONGS_EQUAL(16, takeAll(other_).size());
}

TEST(PermitTable, warmFirstMember_take_isNotLimitedByColdOtherMembers)
{
    auto second = upstream();
    second.announced_.upstream_ = UpstreamId("second");
    state_.upstreams_[UpstreamId("second")] = second;
    state_.groups_.at(group_).members_.emplace_back("second");
    table_ = PermitTable(self_);
    serve();
    report([](Announcement &announced) { announced.cold_ = false; });
    completeRequests(60, milliseconds(100));
    UNSIGNED_LONGS_EQUAL(16, table_.loads().front().limit_);
}

TEST(PermitTable, newIncarnationOrColdFlag_report_returnsToTheColdLimitAndRecalls)
{
    for (const auto isRestarted : {true, false}) {
        report([](Announcement &announced) { announced.cold_ = false; });
        completeRequests(60, milliseconds(100));
        const auto permits = takeAll(other_);
        start(permits.front());
        report([&](Announcement &announced) {
            announced.cold_ = true;
            announced.incarnation_ += isRestarted ? 1 : 0;
        });
        UNSIGNED_LONGS_EQUAL(2, table_.loads().front().limit_);
        UNSIGNED_LONGS_EQUAL(permits.size() - 1, table_.takeRecalls().size());
        CHECK(refusalReason() == RefusalReason::Full);
        for (const auto &permit : permits)
            finish(permit, PermitOutcome::NotStarted);
    }
}

TEST(PermitTable, suddenLatencyJump_finished_returnsToTheColdLimit)
{
    report([](Announcement &announced) { announced.cold_ = false; });
    completeRequests(100, milliseconds(100));
    completeRequests(1, seconds(9));
    UNSIGNED_LONGS_EQUAL(16, table_.loads().front().limit_);
    completeRequests(6, seconds(1));
    CHECK(table_.loads().front().limit_ <= 4);
}

TEST(PermitTable, groupSlowerThanItsPeers_loads_hasALowerLimit)
{
    addGroup(GroupId("h"));
    serve();
    report([](Announcement &announced) { announced.cold_ = false; });
    completeRequests(60, milliseconds(400));
    UNSIGNED_LONGS_EQUAL(16, table_.loads().front().limit_);
    const auto peer
        = std::get<Permit>(table_.grantPermit(GroupId("h"), other_, AttemptId("p"), now_));
    finish(peer, PermitOutcome::Completed, milliseconds(100));
    UNSIGNED_LONGS_EQUAL(4, table_.loads().front().limit_);
}

TEST(PermitTable, permitNotStarted_tick_isVoidAfterItsTimeToLive)
{
    const auto permits = takeAll(other_);
    now_ += milliseconds(permits.front().ttlMs_);
    table_.dropExpiredPermits(now_);
    CHECK(refusalReason() == RefusalReason::Full);
    now_ += milliseconds(300);
    table_.dropExpiredPermits(now_);
    UNSIGNED_LONGS_EQUAL(2, takeAll(other_).size());
}

TEST(PermitTable, voidPermitThatWasStarted_started_countsUntilTheUpstreamAnnouncesOtherwise)
{
    const auto permits = takeAll(other_);
    now_ += seconds(2);
    table_.dropExpiredPermits(now_);
    CHECK_FALSE(start(permits.front()));
    UNSIGNED_LONGS_EQUAL(1, takeAll(other_).size());
    report([](Announcement &announced) { announced.running_ = 0; });
    CHECK(refusalReason() == RefusalReason::Full);
    now_ += seconds(3);
    table_.dropExpiredPermits(now_);
    UNSIGNED_LONGS_EQUAL(1, takeAll(other_).size());
    report([](Announcement &announced) { announced.running_ = 0; });
    UNSIGNED_LONGS_EQUAL(1, takeAll(other_).size());
}

TEST(PermitTable, theSameAttemptAsksAgain_take_getsTheSamePermit)
{
    const auto first = std::get<Permit>(table_.grantPermit(group_, other_, AttemptId("r"), now_));
    const auto second = std::get<Permit>(table_.grantPermit(group_, other_, AttemptId("r"), now_));
    CHECK(first == second);
    UNSIGNED_LONGS_EQUAL(1, table_.loads().front().inUse_);
}

TEST(PermitTable, lostEntry_update_keepsItsRequestsInUseUntilTheUpstreamAnnouncesOtherwise)
{
    for (const auto &permit : takeAll(other_))
        start(permit);
    state_.entries_.at(other_).phase_ = EntryPhase::Lost;
    table_.update(state_, now_);
    CHECK(std::holds_alternative<PermitRefusal>(take(self_)));
    now_ += seconds(3);
    report([](Announcement &announced) { announced.running_ = 1; });
    UNSIGNED_LONGS_EQUAL(1, takeAll(self_).size());
}

TEST(PermitTable, newLeaseholder_take_grantsWhatTheUpstreamAnnouncesAsFree)
{
    state_.groups_.at(group_).leaseNumber_ = 2;
    table_ = PermitTable(self_);
    serve();
    CHECK(refusalReason() == RefusalReason::TakingOver);
    report([](Announcement &announced) { announced.running_ = 0; });
    CHECK(refusalReason() == RefusalReason::TakingOver);
    now_ += seconds(3);
    report([](Announcement &announced) { announced.running_ = 1; });
    UNSIGNED_LONGS_EQUAL(1, takeAll(other_).size());
}

TEST(PermitTable, requestEndNeverTold_report_freesItsPermit)
{
    for (const auto &permit : takeAll(other_))
        start(permit);
    now_ += seconds(2);
    report([](Announcement &announced) { announced.running_ = 1; });
    UNSIGNED_LONGS_EQUAL(0, takeAll(other_).size());
    now_ += seconds(6);
    report([](Announcement &announced) { announced.running_ = 1; });
    UNSIGNED_LONGS_EQUAL(1, takeAll(other_).size());
}

TEST(PermitTable, groupThatMayGetNoRequests_take_isRefused)
{
    const auto changes = std::vector<std::function<void()>>{
        [&] { state_.zonesOut_.insert(ZoneName("talca")); }, [&] { upstream().draining_ = true; },
        [&] { upstream().announced_.leaving_ = true; },
        [&] { state_.groups_.at(group_).phase_ = GroupPhase::Draining; }};
    const auto initialState = state_;
    for (const auto &change : changes) {
        state_ = initialState;
        change();
        table_.update(state_, now_);
        CHECK(refusalReason() == RefusalReason::Draining);
    }
    state_ = initialState;
    table_.update(state_, now_);
    table_.setServing(group_, false);
    CHECK(refusalReason() == RefusalReason::NotServing);
    state_.groups_.at(group_).leaseholder_ = other_;
    table_.update(state_, now_);
    CHECK(refusalReason() == RefusalReason::NotHeld);
}

TEST(PermitTable, overloadedUpstream_finished_halvesTheLimit)
{
    report([](Announcement &announced) { announced.cold_ = false; });
    completeRequests(60, milliseconds(100));
    auto permits = takeAll(other_);
    finish(permits.front(), PermitOutcome::Overloaded);
    UNSIGNED_LONGS_EQUAL(8, table_.loads().front().limit_);
}
