#include "groups/GroupHealthMonitor.h"
#include "groups/GroupPlanner.h"

#include <algorithm>
#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(GroupHealthMonitor)
{
    FleetState state_;
    EntryId self_{"e1"};
    GroupId group_{"g"};
    GroupHealthMonitor monitor_{EntryId("e1")};
    MonotonicTime now_{seconds(100)};
    Sequence sequence_ = 1;

    auto setup()->void override
    {
        for (const auto *name : {"e1", "e2"}) {
            const auto id = EntryId(name);
            state_.entries_[id]
                = EntryRecord{id, 1, ZoneName("talca"), "", "", EntryPhase::Live, false};
        }
        for (auto rank = std::uint32_t{0}; rank < 2; ++rank) {
            const auto announced = member(rank);
            state_.upstreams_[announced.upstream_] = Upstream{announced, self_, false, false};
            state_.groupOf_[announced.upstream_] = group_;
        }
        state_.declaration_.pools_ = {Pool{PoolName("llm"), "large", 2, 0, {}}};
        state_.groups_[group_] = Group{.id_ = group_,
                                       .pool_ = PoolName("llm"),
                                       .zone_ = ZoneName("talca"),
                                       .epoch_ = 2,
                                       .fencing_ = 7,
                                       .members_ = {UpstreamId("u0"), UpstreamId("u1")},
                                       .phase_ = GroupPhase::Serving,
                                       .leaseholder_ = self_,
                                       .leaseNumber_ = 1};
        monitor_.update(state_, now_);
    }

    auto member(std::uint32_t rank) const->Announcement
    {
        auto announced = Announcement{};
        announced.upstream_ = UpstreamId("u" + std::to_string(rank));
        announced.incarnation_ = 1;
        announced.sequence_ = 1;
        announced.pool_ = PoolName("llm");
        announced.zone_ = ZoneName("talca");
        announced.loaded_ = {"large"};
        announced.group_ = group_;
        announced.epoch_ = 2;
        announced.rank_ = rank;
        announced.phase_ = MemberPhase::Ready;
        return announced;
    }

    auto receive(Announcement announced)->AnnouncementEffect
    {
        announced.sequence_ = ++sequence_;
        return monitor_.handleAnnouncement(state_, announced, now_);
    }

    auto receiveFromBoth()->void
    {
        receive(member(0));
        receive(member(1));
    }

    auto mayServe() const->bool
    {
        return monitor_.mayServe(state_, group_, now_);
    }

    auto tick() const->std::vector<Command>
    {
        return monitor_.planCommands(state_, now_, [](const GroupId &) { return true; });
    }

    auto losses() const->std::vector<Command>
    {
        auto commands = tick();
        std::erase_if(commands, [](const Command &command) {
            return !std::holds_alternative<LoseUpstream>(command);
        });
        return commands;
    }
};

TEST(GroupHealthMonitor, everyMemberIsReady_mayServe_isTrueOnceThisEntryHeardAll)
{
    CHECK_FALSE(mayServe());
    receive(member(0));
    CHECK_FALSE(mayServe());
    receive(member(1));
    CHECK(mayServe());
    CHECK(tick().empty());
}

TEST(GroupHealthMonitor, aMemberAnnouncesAnotherMembership_mayServe_isFalse)
{
    const auto changes = std::vector<std::function<void(Announcement &)>>{
        [](Announcement &announced) { announced.group_ = GroupId("h"); },
        [](Announcement &announced) { announced.epoch_ = 1; },
        [](Announcement &announced) { announced.rank_ = 0; },
        [](Announcement &announced) { announced.phase_ = MemberPhase::Loading; },
        [](Announcement &announced) { announced.incarnation_ = 2; }};
    for (const auto &change : changes) {
        monitor_ = GroupHealthMonitor(self_);
        monitor_.update(state_, now_);
        receiveFromBoth();
        auto announced = member(1);
        change(announced);
        CHECK(receive(announced) == AnnouncementEffect::Changed);
        CHECK_FALSE(mayServe());
    }
}

TEST(GroupHealthMonitor, reorderedOrDuplicateAnnouncements_heard_changeNothing)
{
    receiveFromBoth();
    auto late = member(1);
    late.sequence_ = 1;
    late.group_ = GroupId("h");
    CHECK(monitor_.handleAnnouncement(state_, late, now_) == AnnouncementEffect::Stale);
    auto duplicate = *monitor_.lastAnnouncement(UpstreamId("u1"));
    now_ += seconds(1);
    CHECK(monitor_.handleAnnouncement(state_, duplicate, now_) == AnnouncementEffect::Stale);
    CHECK(mayServe());
    auto restarted = member(1);
    restarted.incarnation_ = 3;
    receive(restarted);
    auto fromPreviousIncarnation = member(1);
    fromPreviousIncarnation.incarnation_ = 2;
    fromPreviousIncarnation.sequence_ = 1000;
    CHECK(monitor_.handleAnnouncement(state_, fromPreviousIncarnation, now_)
          == AnnouncementEffect::Stale);
}

TEST(GroupHealthMonitor, aChangeOfLoadAlone_heard_isReportedAsLoadOnly)
{
    auto announced = member(0);
    announced.running_ = 9;
    announced.carries_ = 3;
    CHECK(receive(announced) == AnnouncementEffect::LoadOnly);
    announced.cold_ = !announced.cold_;
    CHECK(receive(announced) == AnnouncementEffect::Changed);
}

TEST(GroupHealthMonitor, aSilentMember_tick_isLostAndTheGroupStops)
{
    receiveFromBoth();
    now_ += milliseconds(1500);
    receive(member(0));
    now_ += milliseconds(600);
    CHECK_FALSE(mayServe());
    const auto commands = losses();
    UNSIGNED_LONGS_EQUAL(1, commands.size());
    CHECK((std::get<LoseUpstream>(commands[0]) == LoseUpstream{UpstreamId("u1"), 1, self_}));
}

/// Guards against upstreams that stay in the state for good, as free instances or members, after
/// a zone was lost together with the entry that watched them.
TEST(GroupHealthMonitor, upstreamsWhoseWatcherIsLost_tick_areLostOnTheEntryThatStandsIn)
{
    const auto watcher = EntryId("e2");
    for (auto &[id, upstream] : state_.upstreams_)
        upstream.watcher_ = watcher;
    state_.entries_[watcher].phase_ = EntryPhase::Leaving;
    monitor_.update(state_, now_, true);
    now_ += milliseconds(2100);
    CHECK(losses().empty());
    state_.entries_[watcher].phase_ = EntryPhase::Lost;
    monitor_.update(state_, now_);
    now_ += milliseconds(2100);
    CHECK(losses().empty());
    monitor_.update(state_, now_, true);
    CHECK(losses().empty());
    now_ += milliseconds(2100);
    const auto commands = losses();
    UNSIGNED_LONGS_EQUAL(2, commands.size());
    CHECK((std::get<LoseUpstream>(commands[0]) == LoseUpstream{UpstreamId("u0"), 1, watcher}));
    CHECK((std::get<LoseUpstream>(commands[1]) == LoseUpstream{UpstreamId("u1"), 1, watcher}));
}

TEST(GroupHealthMonitor, aMemberThatRejoinsInTheSameEpoch_tick_proposesANewEpoch)
{
    receiveFromBoth();
    auto away = member(1);
    away.group_ = GroupId{};
    receive(away);
    receive(member(1));
    CHECK_FALSE(mayServe());
    const auto commands = tick();
    UNSIGNED_LONGS_EQUAL(1, commands.size());
    UNSIGNED_LONGS_EQUAL(2, std::get<FormGroup>(commands[0]).previousEpoch_);
}

TEST(GroupHealthMonitor, aRevokedLeaseNotYetInForce_plan_grantsNothing)
{
    auto planner = GroupPlanner([](const Event &) {});
    auto inForce = false;
    const auto inputs
        = GroupPlannerInputs{now_, {EntryId("e2")}, [&](const GroupId &) { return inForce; }};
    const auto grants = [&] {
        auto granted = std::vector<SetLeaseholder>{};
        for (const auto &action : planner.plan(state_, inputs)) {
            const auto *command = std::get_if<Command>(&action);
            const auto *grant = command == nullptr ? nullptr : std::get_if<SetLeaseholder>(command);
            if (grant != nullptr)
                granted.push_back(*grant);
        }
        return granted;
    };
    CHECK((grants() == std::vector{SetLeaseholder{group_, 1, EntryId{}}}));
    state_.groups_.at(group_).leaseholder_ = EntryId{};
    CHECK(grants().empty());
    inForce = true;
    CHECK((grants() == std::vector{SetLeaseholder{group_, 1, EntryId("e2")}}));
}

TEST(GroupHealthMonitor,
     anUpstreamIsSilentForThreeQuartersOfItsTimeout_unheard_namesItBeforeItIsLost)
{
    const auto isIdle = [](const GroupId &) { return true; };
    const auto timeout = milliseconds(state_.declaration_.defaults_.silenceTimeoutMs_);
    receiveFromBoth();
    CHECK(monitor_.silentUpstreams(state_, now_ + timeout * 3 / 4 - milliseconds(1)).empty());
    now_ += timeout * 3 / 4;
    receive(member(0));
    CHECK(monitor_.silentUpstreams(state_, now_) == std::vector{UpstreamId("u1")});
    for (const auto &command : monitor_.planCommands(state_, now_, isIdle))
        CHECK(!std::holds_alternative<LoseUpstream>(command));
}
