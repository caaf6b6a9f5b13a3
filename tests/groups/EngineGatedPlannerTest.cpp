#include "groups/EngineGatedPlanner.h"

#include "groups/EngineGatedPlannerInputs.h"
#include "groups/MemberAddress.h"
#include "state/StateMachine.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A fleet of engines that carry out orders immediately, on top of the real state machine.
class EngineGatedPlannerFixture : public Utest
{
protected:
    MonotonicTime now_{seconds(100)};
    StateMachine machine_{[](const Event &) {}};
    EngineGatedPlanner planner_;
    LogIndex index_ = 0;
    std::map<UpstreamId, Announcement> engines_;
    std::set<UpstreamId> endedProcesses_;
    std::vector<EngineOrder> orders_;
    /// Orders that made an engine load weights that neither its host nor its last group had.
    std::size_t loads_ = 0;
    /// Those of loads_ that were part of a join, so that a group had to wait for them.
    std::size_t joinLoads_ = 0;
    /// Whether engines accept orders to load and never finish the load.
    bool neverFinishesLoads_ = false;
    /// Whether streams in progress keep a gate that is ordered to close from getting closed.
    bool hasOpenStreams_ = false;
    /// The model of each engine's last group.
    std::map<UpstreamId, std::string> lastModels_;
    std::map<PoolName, double> busyGroupsByPool_;
    /// Engines that orders do not reach.
    std::set<UpstreamId> unreachable_;

    auto setup() -> void override
    {
        auto declaration = Declaration{};
        declaration.zones_ = {ZoneName("a")};
        declaration.defaults_.announceEveryMs_ = 1000;
        declaration.defaults_.silenceTimeoutMs_ = 4000;
        declaration.pools_ = {pool("large", 3, 0.7), pool("small", 2, 0.3)};
        declaration.profiles_ = {UpstreamProfile{.name_ = PoolName("e"), .loadsPerSecond_ = 2}};
        CHECK(commit(PublishDeclaration{1, declaration, "{}"}).accepted_);
    }

    static auto pool(const std::string &model, std::uint32_t size, double share) -> Pool
    {
        return Pool{.name_ = PoolName("e/" + model),
                    .model_ = model,
                    .instancesPerGroup_ = size,
                    .engines_ = PoolName("e"),
                    .share_ = share};
    }

    auto commit(const Command &command) -> CommandOutcome
    {
        return machine_.apply(++index_, command);
    }

    auto announce(Announcement &engine) -> void
    {
        ++engine.sequence_;
        commit(PutUpstream{engine, EntryId("c")});
    }

    auto addEngine(const std::string &id, const std::string &domain) -> void
    {
        auto &engine = engines_[UpstreamId(id)];
        engine = Announcement{.upstream_ = UpstreamId(id),
                              .incarnation_ = 1,
                              .address_ = id + ":1",
                              .zone_ = ZoneName("a"),
                              .fabricDomain_ = FabricDomain(domain),
                              .pool_ = PoolName("e"),
                              .cold_ = false};
        announce(engine);
    }

    auto addEngines(int count) -> void
    {
        for (auto i = 0; i < count; ++i)
            addEngine("u" + std::to_string(i), "d");
    }

    auto execute(const EngineOrder &order) -> void
    {
        auto &engine = engines_.at(order.upstream_);
        auto &last = lastModels_[order.upstream_];
        const auto hasModel
            = engine.loaded_ == std::vector<std::string>{order.model_} || last == order.model_;
        loads_ += !order.model_.empty() && !hasModel ? 1 : 0;
        if (order.kind_ == OrderKind::Join) {
            joinLoads_ += hasModel ? 0 : 1;
            engine.group_ = order.group_;
            engine.epoch_ = order.epoch_;
            engine.rank_ = order.rank_;
            engine.phase_ = MemberPhase::Ready;
            if (!hasModel)
                engine.loaded_ = {order.model_};
            last = order.model_;
        } else if (order.kind_ == OrderKind::Load) {
            if (!neverFinishesLoads_)
                engine.loaded_ = {order.model_};
        } else if (engine.group_ != order.group_) {
            return;
        } else if (order.kind_ == OrderKind::Leave) {
            engine.group_ = GroupId();
            engine.phase_ = MemberPhase::Idle;
        } else {
            const auto opens = order.kind_ == OrderKind::Open;
            const auto closed = hasOpenStreams_ ? MemberPhase::Closing : MemberPhase::Ready;
            engine.phase_ = opens ? MemberPhase::Open : closed;
        }
        announce(engine);
    }

    /// Plans once, applies the commands and lets the engines carry out the orders.
    auto planOnce() -> void
    {
        now_ += milliseconds(100);
        const auto inputs = EngineGatedPlannerInputs{
            now_, busyGroupsByPool_, [this](const Upstream &upstream) {
                return endedProcesses_.contains(upstream.announced_.upstream_);
            }};
        const auto actions = planner_.plan(machine_.state(), inputs);
        for (const auto &item : actions) {
            if (const auto *command = std::get_if<Command>(&item))
                commit(*command);
        }
        for (const auto &item : actions) {
            if (const auto *order = std::get_if<EngineOrder>(&item)) {
                orders_.push_back(*order);
                const auto isDelivered = !unreachable_.contains(order->upstream_);
                if (isDelivered)
                    execute(*order);
                planner_.orderEnded(order->upstream_, isDelivered, now_);
            }
        }
    }

    auto planTimes(int count) -> void
    {
        for (auto i = 0; i < count; ++i)
            planOnce();
    }

    auto openGroups(const std::string &model) -> int
    {
        auto count = 0;
        for (const auto &[id, group] : machine_.state().groups_) {
            const auto &head = engines_.at(group.members_.front());
            count += group.pool_ == PoolName("e/" + model) && head.phase_ == MemberPhase::Open
                    && group.phase_ == GroupPhase::Serving
                ? 1
                : 0;
        }
        return count;
    }

    auto groupOf(const std::string &model) -> const Group &
    {
        for (const auto &[id, group] : machine_.state().groups_) {
            if (group.pool_ == PoolName("e/" + model))
                return group;
        }
        FAIL("no group of that model");
        return machine_.state().groups_.begin()->second;
    }

    auto loseUpstream(const UpstreamId &id) -> void
    {
        commit(LoseUpstream{id, engines_.at(id).incarnation_, EntryId()});
        unreachable_.insert(id);
    }

    /// Checks that a group of \a model that loses a member opens again without a load, with one
    /// spare for both models.
    auto checkLossWithOneSpare(const std::string &model) -> void
    {
        addEngines(6);
        planTimes(40);
        commit(NoteTraffic{});
        const auto loadsBefore = joinLoads_;
        loseUpstream(groupOf(model).members_[1]);
        planTimes(20);
        LONGS_EQUAL(1, openGroups(model));
        LONGS_EQUAL(loadsBefore, joinLoads_);
    }

    auto joinsSince(std::size_t first) -> int
    {
        auto count = 0;
        for (auto i = first; i < orders_.size(); ++i)
            count += orders_[i].kind_ == OrderKind::Join ? 1 : 0;
        return count;
    }
};

TEST_GROUP_BASE(EngineGatedPlanner, EngineGatedPlannerFixture){};

TEST(EngineGatedPlanner, enginesAnnounceThemselvesOneByOne_plan_waitsUntilNoMoreAppear)
{
    for (auto i = 0; i < 6; ++i) {
        addEngine("u" + std::to_string(i), "d");
        planOnce();
    }
    CHECK(machine_.state().groups_.empty());
    planTimes(12);
    LONGS_EQUAL(1, openGroups("large"));
    LONGS_EQUAL(1, openGroups("small"));
}

TEST(EngineGatedPlanner, aGroupThatIsNotReady_plan_isNotOpened)
{
    addEngines(5);
    unreachable_ = {UpstreamId("u1")};
    planTimes(20);
    for (const auto &order : orders_) {
        const auto &group
            = machine_.state().groups_.at(machine_.state().groupOf_.at(UpstreamId("u1")));
        CHECK_FALSE(order.kind_ == OrderKind::Open && order.group_ == group.id_);
    }
}

TEST(EngineGatedPlanner, twoNewGroups_plan_getDifferentEpochs)
{
    addEngines(5);
    planTimes(20);
    CHECK(groupOf("large").epoch_ != groupOf("small").epoch_);
}

TEST(EngineGatedPlanner, aMemberIsLost_plan_closesTheGateBeforeAnyOtherMemberJoinsAgain)
{
    addEngines(6);
    planTimes(20);
    commit(NoteTraffic{});
    const auto members = groupOf("large").members_;
    const auto old = groupOf("large").id_;
    loseUpstream(members[1]);
    const auto first = orders_.size();
    while (machine_.state().groups_.contains(old) && engines_.at(members[0]).group_ == old) {
        LONGS_EQUAL(0, joinsSince(first));
        planOnce();
    }
    planTimes(20);
    LONGS_EQUAL(1, openGroups("large"));
}

TEST(EngineGatedPlanner, theHeadIsLost_plan_waitsForTheStallTimeBeforeItsMembersJoinAgain)
{
    addEngines(6);
    planTimes(20);
    const auto members = groupOf("large").members_;
    loseUpstream(members[0]);
    const auto lostAt = now_;
    const auto first = orders_.size();
    while (joinsSince(first) == 0 && now_ - lostAt < seconds(20))
        planOnce();
    CHECK(now_ - lostAt >= seconds(5));
    CHECK(now_ - lostAt < seconds(9));
}

TEST(EngineGatedPlanner, theHeadsProcessHasEnded_plan_reusesItsMembersImmediately)
{
    addEngines(6);
    planTimes(20);
    const auto members = groupOf("large").members_;
    endedProcesses_.insert(members[0]);
    loseUpstream(members[0]);
    planTimes(15);
    LONGS_EQUAL(1, openGroups("large"));
}

TEST(EngineGatedPlanner, aMemberLeaves_plan_closesTheGateBeforeTheGroupEnds)
{
    addEngines(6);
    planTimes(20);
    const auto members = groupOf("large").members_;
    auto &leaving = engines_.at(members[1]);
    leaving.leaving_ = true;
    announce(leaving);
    const auto first = orders_.size();
    planTimes(3);
    CHECK(orders_.at(first).kind_ == OrderKind::Close);
    CHECK(orders_.at(first).upstream_ == members[0]);
}

TEST(EngineGatedPlanner, aFleetStarts_plan_loadsASpareOfEachModelOfADomain)
{
    auto declaration = machine_.state().declaration_;
    for (auto &pool : declaration.pools_)
        pool.groups_ = 1;
    CHECK(commit(PublishDeclaration{2, declaration, "{}"}).accepted_);
    addEngines(7);
    planTimes(20);
    auto held = std::set<std::vector<std::string>>{};
    for (const auto &[id, engine] : engines_) {
        if (!machine_.state().groupOf_.contains(id))
            held.insert(engine.loaded_);
    }
    CHECK(held == (std::set<std::vector<std::string>>{{"large"}, {"small"}}));
}

TEST(EngineGatedPlanner, aMemberIsLostWithoutASpareOfItsModel_plan_formsItsGroupAgainWithALoad)
{
    addEngines(6);
    planTimes(20);
    commit(NoteTraffic{});
    const auto members = groupOf("small").members_;
    engines_.at(members[1]).loaded_.clear();
    loseUpstream(members[1]);
    planTimes(60);
    LONGS_EQUAL(1, openGroups("large"));
    LONGS_EQUAL(1, openGroups("small"));
}

TEST(EngineGatedPlanner, aGroupHasJustEnded_plan_formsNoneThatNeedsLoadsOfItsMembers)
{
    addEngines(6);
    planTimes(20);
    commit(NoteTraffic{});
    const auto members = groupOf("large").members_;
    loseUpstream(members[1]);
    const auto first = orders_.size();
    planTimes(15);
    for (auto i = first; i < orders_.size(); ++i)
        CHECK(orders_[i].kind_ != OrderKind::Join || orders_[i].model_ == "large");
}

TEST(EngineGatedPlanner, aSpare_plan_loadsTheModelWithTheMostMembersFirst)
{
    addEngines(6);
    planTimes(20);
    auto loads = std::map<UpstreamId, std::vector<std::string>>{};
    for (const auto &order : orders_) {
        const auto isSpare = !machine_.state().groupOf_.contains(order.upstream_);
        if (isSpare && order.kind_ == OrderKind::Load)
            loads[order.upstream_].push_back(order.model_);
    }
    LONGS_EQUAL(1, loads.size());
    CHECK(loads.begin()->second == (std::vector<std::string>{"large", "small"}));
}

/// Guards against groups of the smaller model that take the instances of the larger one, of which
/// only one group fits into a domain.
TEST(EngineGatedPlanner, domainsOfElevenStart_plan_formsAGroupOfEachModelInEach)
{
    auto declaration = machine_.state().declaration_;
    declaration.pools_ = {pool("large", 6, 0.67), pool("small", 3, 0.33)};
    CHECK(commit(PublishDeclaration{2, declaration, "{}"}).accepted_);
    for (auto i = 0; i < 66; ++i)
        addEngine("u" + std::to_string(i), "d" + std::to_string(i / 11));
    planTimes(30);
    LONGS_EQUAL(6, openGroups("large"));
    LONGS_EQUAL(6, openGroups("small"));
}

TEST(EngineGatedPlanner, aMemberOfTheLargerModelIsLost_plan_replacesItByASpareWithoutALoad)
{
    checkLossWithOneSpare("large");
}

TEST(EngineGatedPlanner, aMemberOfTheSmallerModelIsLost_plan_replacesItByASpareWithoutALoad)
{
    checkLossWithOneSpare("small");
}

TEST(EngineGatedPlanner, trafficHasBegun_plan_limitsLoadsToTheRateOfTheWeightStore)
{
    commit(NoteTraffic{});
    for (auto i = 0; i < 30; ++i)
        addEngine("u" + std::to_string(i), "d" + std::to_string(i));
    for (auto second = 0; second < 5; ++second)
        planTimes(10);
    CHECK(loads_ > 0);
    CHECK(loads_ <= 2 * 5 * 11 / 10 + 3);
}

/// Guards against instances of broken groups that load second models while groups wait for their
/// weights: more loads at once than the weight store serves make each of them longer.
TEST(EngineGatedPlanner, manySparesMayLoadASecondModel_plan_leavesHalfOfTheConcurrentLoadsToGroups)
{
    auto declaration = machine_.state().declaration_;
    for (auto &pool : declaration.pools_)
        pool.groups_ = 1;
    declaration.defaults_.loadsAtOnce_ = 4;
    declaration.profiles_.front().loadsPerSecond_ = 100;
    CHECK(commit(PublishDeclaration{2, declaration, "{}"}).accepted_);
    addEngines(5);
    planTimes(30);
    commit(NoteTraffic{});
    for (auto i = 5; i < 15; ++i) {
        addEngine("u" + std::to_string(i), "d");
        engines_.at(UpstreamId("u" + std::to_string(i))).loaded_ = {"large"};
        announce(engines_.at(UpstreamId("u" + std::to_string(i))));
    }
    neverFinishesLoads_ = true;
    const auto before = loads_;
    planTimes(60);
    LONGS_EQUAL(2, loads_ - before);
}

/// In a fleet without spares, members load second models before the first request, because the
/// weight store is fast until then and slow afterwards.
TEST(EngineGatedPlanner, allInstancesAreInGroups_plan_loadsTheOtherModelOntoMembersBeforeTraffic)
{
    addEngines(5);
    planTimes(20);
    auto held = std::map<std::string, int>{};
    for (const auto &[id, engine] : engines_) {
        const auto isLarge = groupOf("large").id_ == engine.group_;
        ++held[(isLarge ? "large with " : "small with ") + engine.loaded_.back()];
    }
    LONGS_EQUAL(2, held["large with small"]);
    LONGS_EQUAL(1, held["large with large"]);
    LONGS_EQUAL(2, held["small with large"]);
    LONGS_EQUAL(1, openGroups("large"));
    LONGS_EQUAL(1, openGroups("small"));
}

/// Guards against refused callers of the larger model while the smaller one has capacity: each lost
/// member of the larger model leaves the other instances of its group idle.
TEST(EngineGatedPlanner,
     groupsOfTheLargerModelLoseMembers_plan_regroupsMembersOfTheSmallerModelWithoutLoadingWeights)
{
    auto declaration = machine_.state().declaration_;
    declaration.pools_ = {pool("large", 4, 0.67), pool("small", 2, 0.33)};
    CHECK(commit(PublishDeclaration{2, declaration, "{}"}).accepted_);
    for (auto i = 0; i < 48; ++i)
        addEngine("u" + std::to_string(i), "d" + std::to_string(i / 8));
    planTimes(20);
    commit(NoteTraffic{});
    LONGS_EQUAL(8, openGroups("large"));
    LONGS_EQUAL(8, openGroups("small"));
    const auto loadsBefore = joinLoads_;
    auto lost = std::set<FabricDomain>{};
    for (const auto &[id, group] : std::map(machine_.state().groups_)) {
        const auto &domain = engines_.at(group.members_[0]).fabricDomain_;
        if (group.pool_ == PoolName("e/large") && lost.size() < 3 && lost.insert(domain).second)
            loseUpstream(group.members_[1]);
    }
    planTimes(60);
    // In each domain that lost an instance, one group of each model and a spare fit.
    CHECK(openGroups("large") >= 6);
    CHECK(openGroups("small") >= 6);
    LONGS_EQUAL(loadsBefore, joinLoads_);
}

/// Guards against streams that are cut off by a planned change of groups under load.
TEST(EngineGatedPlanner, theGateOfACompleteGroupCloses_plan_letsTheHeadFinishItsStreams)
{
    addEngines(6);
    planTimes(20);
    commit(NoteTraffic{});
    hasOpenStreams_ = true;
    const auto members = groupOf("large").members_;
    auto &leaving = engines_.at(members[1]);
    leaving.leaving_ = true;
    announce(leaving);
    const auto first = orders_.size();
    planTimes(20);
    CHECK(engines_.at(members[0]).phase_ == MemberPhase::Closing);
    for (auto i = first; i < orders_.size(); ++i)
        CHECK(orders_[i].kind_ != OrderKind::Leave || orders_[i].upstream_ != members[0]);
}

/// Guards against a full second wait when the control leader is lost while the planner waits for a
/// group with a lost head to break.
TEST(EngineGatedPlanner, anotherProcessLeads_plan_countsTheStallTimeFromItsOwnObservation)
{
    auto follower = EngineGatedPlanner();
    const auto stepBoth = [&] {
        planOnce();
        follower.observe(machine_.state(), now_);
    };
    addEngines(6);
    for (auto i = 0; i < 20; ++i)
        stepBoth();
    const auto members = groupOf("large").members_;
    loseUpstream(members[0]);
    const auto lostAt = now_;
    while (now_ - lostAt < seconds(3))
        stepBoth();
    planner_ = std::move(follower);
    planner_.reset();
    const auto first = orders_.size();
    while (joinsSince(first) == 0 && now_ - lostAt < seconds(20))
        planOnce();
    CHECK(now_ - lostAt >= seconds(5));
    CHECK(now_ - lostAt < seconds(7));
}

/// Demand for one model rises above the share that the declaration expects.
TEST(EngineGatedPlanner, demandForTheSmallerModelRises_plan_dissolvesALargerGroup)
{
    auto declaration = machine_.state().declaration_;
    declaration.pools_ = {pool("large", 4, 0.67), pool("small", 2, 0.33)};
    CHECK(commit(PublishDeclaration{2, declaration, "{}"}).accepted_);
    for (auto i = 0; i < 16; ++i)
        addEngine("u" + std::to_string(i), "d" + std::to_string(i / 8));
    planTimes(20);
    commit(NoteTraffic{});
    const auto large = openGroups("large");
    const auto small = openGroups("small");
    busyGroupsByPool_ = {{PoolName("e/large"), 0.5}, {PoolName("e/small"), 4}};
    planTimes(60);
    CHECK(openGroups("large") < large);
    CHECK(openGroups("small") > small);
}

TEST(EngineGatedPlanner, allGroupsAreEquallyBusy_plan_dissolvesNone)
{
    addEngines(11);
    planTimes(20);
    commit(NoteTraffic{});
    const auto groups = machine_.state().groups_;
    busyGroupsByPool_ = {{PoolName("e/large"), 0.8 * openGroups("large")},
                         {PoolName("e/small"), 0.8 * openGroups("small")}};
    planTimes(60);
    CHECK(machine_.state().groups_.size() == groups.size());
    for (const auto &[id, group] : groups)
        CHECK(machine_.state().groups_.contains(id));
}

/// A member or head of a group with open streams is silent for a moment, also towards probes, and
/// is declared lost; then it goes on.
TEST_GROUP_BASE(SilentMember,
                EngineGatedPlannerFixture){auto ordersAfterAMomentarySilenceOf(std::size_t position)
                                               ->std::vector<EngineOrder>{addEngines(6);
planTimes(20);
commit(NoteTraffic{});
hasOpenStreams_ = true;
const auto member = groupOf("large").members_.at(position);
const auto before = static_cast<std::ptrdiff_t>(orders_.size());
commit(LoseUpstream{member, 1, EntryId{}});
planTimes(2);
announce(engines_.at(member));
planTimes(10);
return {orders_.begin() + before, orders_.end()};
}
}
;

// Guards against streams that are cut because their sound head is ordered to leave (LOST).
TEST(SilentMember, aMemberIsDeclaredLostForAMoment_plan_doesNotOrderTheHeadToLeave)
{
    for (const auto &order : ordersAfterAMomentarySilenceOf(1))
        CHECK(order.kind_ != OrderKind::Leave);
}

// Guards against streams that are cut because the sound members of their head are ordered to leave.
TEST(SilentMember, theHeadIsDeclaredLostForAMoment_plan_doesNotOrderItsMembersToLeave)
{
    for (const auto &order : ordersAfterAMomentarySilenceOf(0))
        CHECK(order.kind_ != OrderKind::Leave);
}
