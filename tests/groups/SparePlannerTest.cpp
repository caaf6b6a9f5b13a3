#include "groups/SparePlanner.h"

#include "groups/FreeInstances.h"
#include "state/FleetState.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One fabric domain with spares, a serving group of six members for one model and a serving group
/// of three for another.
TEST_GROUP(SparePlanner)
{
    MonotonicTime now_{seconds(100)};
    FleetState state_;
    SparePlanner planner_;
    int spares_ = 0;
    bool isStable_ = true;

    auto setup()->void override
    {
        state_.declaration_.pools_ = {pool("large", 6), pool("small", 3)};
        addGroup("large", 6);
        addGroup("small", 3);
    }

    static auto pool(const std::string &model, std::uint32_t size)->Pool
    {
        return Pool{.name_ = PoolName("e/" + model),
                    .model_ = model,
                    .instancesPerGroup_ = size,
                    .engines_ = PoolName("e")};
    }

    auto addEngine(const std::string &id)->Announcement &
    {
        auto &upstream = state_.upstreams_[UpstreamId(id)];
        upstream.announced_ = Announcement{.upstream_ = UpstreamId(id),
                                           .incarnation_ = 1,
                                           .zone_ = ZoneName("a"),
                                           .fabricDomain_ = FabricDomain("d"),
                                           .pool_ = PoolName("e"),
                                           .cold_ = false};
        return upstream.announced_;
    }

    auto addGroup(const std::string &model, int size)->void
    {
        auto &group = state_.groups_[GroupId(model)];
        group.id_ = GroupId(model);
        group.pool_ = PoolName("e/" + model);
        group.phase_ = GroupPhase::Serving;
        for (auto i = 0; i < size; ++i) {
            auto &announced = addEngine(model + std::to_string(i));
            announced.group_ = group.id_;
            announced.phase_ = MemberPhase::Ready;
            announced.loaded_ = {model};
            group.members_.push_back(announced.upstream_);
            state_.groupOf_[announced.upstream_] = group.id_;
        }
    }

    /// Adds a spare that holds the weights of \a model, or none when it is empty.
    auto addSpare(const std::string &model)->UpstreamId
    {
        auto &announced = addEngine("spare" + std::to_string(spares_++));
        if (!model.empty())
            announced.loaded_ = {model};
        return announced.upstream_;
    }

    /// Lets \a spare get ready in its standby group and leave it.
    auto prepareInStandby(const UpstreamId &spare)->void
    {
        announced(spare).group_ = SparePlanner::standbyGroup(spare);
        announced(spare).phase_ = MemberPhase::Ready;
        planner_.observe(state_, now_);
        announced(spare).group_ = GroupId();
        announced(spare).phase_ = MemberPhase::Idle;
    }

    auto steps()->std::vector<SpareStep>
    {
        planner_.observe(state_, now_);
        return planner_.plan(state_, PoolName("e"),
                             freeInstances(state_, state_.declaration_.pools_.front()),
                             [this](const FabricDomain &) { return isStable_; });
    }

    auto announced(const UpstreamId &id)->Announcement &
    {
        return state_.upstreams_.at(id).announced_;
    }
};

TEST(SparePlanner, twoSparesWithoutWeights_plan_loadADifferentModelEach)
{
    addSpare("");
    addSpare("");
    const auto planned = steps();
    LONGS_EQUAL(2, planned.size());
    CHECK(planned[0] == (SpareStep{UpstreamId("spare0"), SpareStep::Kind::Load, "large"}));
    CHECK(planned[1] == (SpareStep{UpstreamId("spare1"), SpareStep::Kind::Load, "small"}));
}

TEST(SparePlanner, oneModelHasASpare_plan_loadsTheOther)
{
    addSpare("small");
    addSpare("");
    const auto planned = steps();
    LONGS_EQUAL(2, planned.size());
    CHECK(planned[1] == (SpareStep{UpstreamId("spare1"), SpareStep::Kind::Load, "large"}));
}

TEST(SparePlanner, aSpareHoldsWeights_plan_preparesItOnce)
{
    const auto spare = addSpare("large");
    const auto prepare = SpareStep{spare, SpareStep::Kind::Prepare, "large"};
    CHECK(steps() == std::vector{prepare});
    prepareInStandby(spare);
    for (const auto &step : steps())
        CHECK(step.kind_ != SpareStep::Kind::Prepare);
    announced(spare).incarnation_ = 2;
    CHECK(steps() == std::vector{prepare});
}

TEST(SparePlanner, aSpareIsPrepared_plan_loadsTheOtherModelOfItsDomain)
{
    const auto spare = addSpare("large");
    prepareInStandby(spare);
    CHECK(steps() == (std::vector{SpareStep{spare, SpareStep::Kind::Load, "small"}}));
    CHECK(planner_.isPrepared(state_.upstreams_.at(spare), "large"));
    announced(spare).loaded_ = {"small"};
    CHECK(steps().empty());
    CHECK(planner_.isPrepared(state_.upstreams_.at(spare), "large"));
}

TEST(SparePlanner, aGroupOfTheDomainHasJustEnded_plan_loadsNoSecondModelOntoItsMembers)
{
    const auto member = UpstreamId("large5");
    steps();
    state_.groups_.at(GroupId("large")).members_.pop_back();
    state_.groupOf_.erase(member);
    announced(member).group_ = GroupId();
    announced(member).phase_ = MemberPhase::Idle;
    isStable_ = false;
    CHECK(steps().empty());
    isStable_ = true;
    CHECK(steps() == (std::vector{SpareStep{member, SpareStep::Kind::Load, "small"}}));
}

TEST(SparePlanner, noGroupOfTheOtherModelIsInTheDomain_plan_loadsNoSecondModel)
{
    const auto spare = addSpare("large");
    prepareInStandby(spare);
    state_.groups_.erase(GroupId("small"));
    CHECK(steps().empty());
}

TEST(SparePlanner, aSpareIsLoadingInStandby_isPreparing_endsAfterItsTimeout)
{
    const auto spare = addSpare("large");
    announced(spare).group_ = SparePlanner::standbyGroup(spare);
    announced(spare).phase_ = MemberPhase::Loading;
    steps();
    CHECK(planner_.isPreparing(state_.upstreams_.at(spare), now_ + seconds(2)));
    now_ += seconds(6);
    steps();
    CHECK_FALSE(planner_.isPreparing(state_.upstreams_.at(spare), now_));
}

TEST(SparePlanner, aSpareIsReadyInStandby_isPreparing_isFalse)
{
    const auto spare = addSpare("large");
    announced(spare).group_ = SparePlanner::standbyGroup(spare);
    announced(spare).phase_ = MemberPhase::Ready;
    steps();
    CHECK_FALSE(planner_.isPreparing(state_.upstreams_.at(spare), now_));
}

/// Guards against a shortage of one model after a zone loses power: its engines restart with only
/// the weights that their hosts hold.
TEST(SparePlanner, membersHoldOnlyTheirModel_planMemberLoads_loadsTheOtherModelOntoSome)
{
    planner_.observe(state_, now_);
    auto loads = std::map<std::string, int>{};
    for (const auto &step : planner_.planMemberLoads(state_, PoolName("e"))) {
        CHECK(step.kind_ == SpareStep::Kind::Load);
        const auto isLarge = announced(step.upstream_).group_ == GroupId("large");
        STRCMP_EQUAL(isLarge ? "small" : "large", step.model_.c_str());
        ++loads[step.model_];
    }
    // The five members that remain of the larger group can form one smaller group of three. All
    // members of the smaller group load the larger model.
    LONGS_EQUAL(3, loads["small"]);
    LONGS_EQUAL(3, loads["large"]);
}

TEST(SparePlanner, membersHoldTheOtherModel_planMemberLoads_loadsNothing)
{
    for (auto &[id, upstream] : state_.upstreams_) {
        auto &announced = upstream.announced_;
        announced.loaded_ = {announced.group_ == GroupId("large") ? "small" : "large"};
    }
    CHECK(planner_.planMemberLoads(state_, PoolName("e")).empty());
}

TEST(SparePlanner, aGroupIsNotServing_planMemberLoads_loadsNothingOntoItsMembers)
{
    state_.groups_.at(GroupId("large")).phase_ = GroupPhase::Forming;
    LONGS_EQUAL(3, planner_.planMemberLoads(state_, PoolName("e")).size());
}
