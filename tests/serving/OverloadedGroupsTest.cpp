#include "control/ControlFleet.h"
#include "serving/LoadReport.h"
#include "serving/PermitBroker.h"

#include <memory>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// A request that was taken out of the queue, and whose permit the leaseholder refuses until the
/// deadline of the request passes.
TEST_GROUP(OverloadedGroups)
{
    ControlFleet fleet_ = ControlFleet(1, 1, 0);
    std::unique_ptr<PermitBroker> broker_;
    int takes_ = 0;

    auto setup()->void override
    {
        fleet_.start(0);
        CHECK(fleet_.runUntilReady());
        const auto self = fleet_.node(0).self_.id_;
        addGroup(self);
        auto hooks = PermitBrokerHooks{};
        hooks.takeLocal_ = [this](const PermitTake &take) {
            ++takes_;
            return PermitAnswer{.number_ = take.number_,
                                .refusal_ = PermitRefusal{RefusalReason::Full}};
        };
        hooks.event_ = [](const Event &) {};
        hooks.now_ = [this] { return fleet_.now(); };
        hooks.random_ = [] { return std::uint64_t{1}; };
        broker_ = std::make_unique<PermitBroker>(self, ZoneName("a"), fleet_.service(0), hooks);
        broker_->stateChanged();
        broker_->updateLoads(
            LoadReport{{GroupLoad{.group_ = GroupId("g"), .leaseNumber_ = 1, .limit_ = 1}}});
    }

    auto commit(const Command &command)->void
    {
        fleet_.service(0).propose(command, nullptr);
        fleet_.run(200ms);
    }

    auto addGroup(const EntryId &holder)->void
    {
        auto declaration = Declaration{};
        declaration.zones_ = {ZoneName("a")};
        declaration.pools_ = {Pool{.name_ = PoolName("p"), .model_ = "m", .instancesPerGroup_ = 1}};
        commit(PublishDeclaration{1, declaration, "{}"});
        auto announcement = Announcement{.upstream_ = UpstreamId("u"),
                                         .incarnation_ = 1,
                                         .address_ = "u:1",
                                         .zone_ = ZoneName("a"),
                                         .fabricDomain_ = FabricDomain("d"),
                                         .pool_ = PoolName("p"),
                                         .cold_ = false};
        commit(PutUpstream{announcement, holder});
        commit(FormGroup{GroupId("g"), PoolName("p"), ZoneName("a"), 0, {UpstreamId("u")}});
        commit(SetLeaseholder{GroupId("g"), 0, holder});
        announcement.sequence_ = 1;
        announcement.group_ = GroupId("g");
        announcement.epoch_ = 1;
        announcement.phase_ = MemberPhase::Ready;
        commit(PutUpstream{announcement, holder});
        commit(SetGroupPhase{GroupId("g"), 1, GroupPhase::Loading});
        commit(SetGroupPhase{GroupId("g"), 1, GroupPhase::Serving});
    }
};

TEST(OverloadedGroups, requeuedRequest_deadlinePasses_failsWithARetryDelay)
{
    auto failure = std::optional<Failure>{};
    broker_->request(PermitRequest{.queueItem_ = QueueItem{.request_ = RequestId("r"),
                                                           .deadline_ = fleet_.now() + 300ms},
                                   .choiceRequest_ = GroupChoiceRequest{.pool_ = PoolName("p")}},
                     [&](const Result<BrokeredPermit> &result) { failure = result.failure(); });
    CHECK(takes_ > 0);
    fleet_.run(400ms);
    broker_->tick();
    CHECK(failure.has_value());
    CHECK(failure->code_ == Error::Overloaded);
    CHECK(failure->verdict_ == Verdict::NotRun);
    CHECK(failure->retryAfter_ && *failure->retryAfter_ > Duration::zero());
}
