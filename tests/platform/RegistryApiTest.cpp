#include "platform/RegistryApi.h"
#include "control/ControlFleet.h"
#include "serving/LeaseholderService.h"
#include "serving/WithdrawalWatch.h"
#include "transport/KeptReply.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;
using namespace std::chrono_literals;

/// An upstream that reports to a control process that it leaves, or deregisters. Of the nodes 0 to
/// 3, the last is an entry that could send it requests.
TEST_GROUP(LeavingUpstream)
{
    static constexpr auto entryIndex = std::size_t{3};
    /// The longest time that an upstream waits for a response.
    static constexpr auto acknowledgementTimeout = 1s;

    ControlFleet fleet_ = ControlFleet(1, 3, 1);
    UpstreamId upstreamId_{"i-1"};
    std::shared_ptr<LeaseholderService> leaseholderService_;
    std::unique_ptr<WithdrawalWatch> withdrawals_;
    std::unique_ptr<RegistryApi> registryApi_;
    bool mayBeLate_ = false;

    auto setup()->void override
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        // Leases granted before the start would delay when records come in force; let them expire.
        fleet_.run(5s);
        auto hooks = LeaseholderHooks{};
        hooks.send_ = [](const EntryId &, const std::string &, const Json &) {};
        hooks.reportLoads_ = [](const LoadReport &) {};
        hooks.event_ = [](const Event &) {};
        hooks.now_ = [this] { return fleet_.now(); };
        leaseholderService_ = std::make_shared<LeaseholderService>(fleet_.node(0).self_.id_,
                                                                   fleet_.service(0), hooks);
        withdrawals_ = std::make_unique<WithdrawalWatch>(
            fleet_.service(0), [](const Event &) {}, [this] { return fleet_.now(); });
        registryApi_ = std::make_unique<RegistryApi>(
            fleet_.service(0), *leaseholderService_, *withdrawals_, "127.0.0.1:1",
            [this] { return mayBeLate_; }, [](const Event &) {});
        sendReport("ready", 1);
        CHECK(
            fleet_.runUntil([this] { return isAvailableOn(entryIndex) && isAvailableOn(0); }, 2s));
    }

    auto sendRequest(const std::string &method, const std::string &body)->std::shared_ptr<KeptReply>
    {
        auto reply = std::make_shared<KeptReply>();
        CHECK(registryApi_->handle(
            HttpRequest{method, "/-/instances/" + upstreamId_.text(), {}, body}, reply));
        return reply;
    }

    auto sendReport(const std::string &state, int sequence)->std::shared_ptr<KeptReply>
    {
        return sendRequest(
            "PUT",
            R"({"service":"app","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"coldRemainingMs":0,"born":7,"state":")"
                + state + R"(","sequence":)" + std::to_string(sequence) + "}");
    }

    auto deregister()->std::shared_ptr<KeptReply>
    {
        return sendRequest("DELETE", "");
    }

    static auto isRefused(const KeptReply &reply)->bool
    {
        return reply.answer_ && reply.answer_->status_ == 400;
    }

    /// Whether the state applied by \a node allows new requests to the upstream.
    auto isAvailableOn(std::size_t node)->bool
    {
        return fleet_.service(node).readState([this](const FleetState &state) {
            const auto found = state.upstreams_.find(upstreamId_);
            return found != state.upstreams_.end() && mayTakeWork(found->second);
        });
    }

    auto runFor(Duration duration)->void
    {
        constexpr auto step = Duration(20ms);
        for (auto remaining = duration; remaining > Duration::zero(); remaining -= step) {
            fleet_.run(step);
            withdrawals_->tick();
        }
    }

    static auto isAcknowledged(const KeptReply &reply)->bool
    {
        return reply.answer_ && reply.answer_->status_ == 200;
    }

    auto stopOtherVoters()->void
    {
        fleet_.stop(1);
        fleet_.stop(2);
        runFor(2s);
    }
};

// Guards against new requests to a draining upstream whose notice was acknowledged (DRAIN): without
// a leader, its report reaches no entry.
TEST(LeavingUpstream, noLeader_drainingReport_isNotAcknowledged)
{
    stopOtherVoters();
    const auto reply = sendReport("draining", 2);
    runFor(acknowledgementTimeout);
    CHECK_FALSE(isAcknowledged(*reply));
}

// Guards against a violation of DRAIN: a deregistration is acknowledged but lost, as no leader
// commits it.
TEST(LeavingUpstream, noLeader_deregistration_isNotAcknowledged)
{
    stopOtherVoters();
    const auto reply = deregister();
    runFor(acknowledgementTimeout);
    CHECK_FALSE(isAcknowledged(*reply));
}

// Guards against a violation of DRAIN: an entry that still holds a lease on an older state sends
// the upstream requests after its notice was acknowledged.
TEST(LeavingUpstream, entryWithOldState_drainingReport_isNotAcknowledged)
{
    fleet_.dropsMessage_ = [](std::size_t, std::size_t to, const std::string &method) {
        return to == entryIndex && method == "control.grant";
    };
    const auto reply = sendReport("draining", 2);
    runFor(acknowledgementTimeout);
    CHECK(fleet_.service(entryIndex).mayTakeWork() && isAvailableOn(entryIndex));
    CHECK_FALSE(isAcknowledged(*reply));
}

TEST(LeavingUpstream, allEntriesUpdated_drainingReport_isAcknowledgedInTime)
{
    const auto reply = sendReport("draining", 2);
    runFor(acknowledgementTimeout);
    CHECK(isAcknowledged(*reply));
    CHECK_FALSE(isAvailableOn(entryIndex));
}

TEST(LeavingUpstream, allEntriesUpdated_deregistration_isAcknowledgedInTime)
{
    const auto reply = deregister();
    runFor(acknowledgementTimeout);
    CHECK(isAcknowledged(*reply));
    CHECK_FALSE(isAvailableOn(entryIndex));
}

// Guards against a violation of DRAIN: a control process that lags behind the log does not know the
// upstream yet and drops its deregistration.
TEST(LeavingUpstream, upstreamUnknownToLaggingProcess_deregistration_withdrawsIt)
{
    const auto leader = *fleet_.leader();
    CHECK(leader != 0);
    fleet_.dropsMessage_ = [](std::size_t, std::size_t to, const std::string &method) {
        return to == 0 && method == "control.log";
    };
    upstreamId_ = UpstreamId("i-2");
    fleet_.service(leader).propose(
        PutUpstream{Announcement{.upstream_ = upstreamId_, .incarnation_ = 7}, EntryId("e2")},
        nullptr);
    CHECK(fleet_.runUntil([&] { return isAvailableOn(leader); }, 1s));
    CHECK_FALSE(isAvailableOn(0));
    deregister();
    runFor(acknowledgementTimeout);
    CHECK_FALSE(isAvailableOn(leader));
}

// Guards against a violation of DRAIN: a delayed report makes a deregistered upstream available
// again.
TEST(LeavingUpstream, delayedReport_afterDeregistration_doesNotMakeUpstreamAvailable)
{
    const auto reply = deregister();
    runFor(acknowledgementTimeout);
    sendReport("ready", 2);
    runFor(acknowledgementTimeout);
    CHECK_FALSE(isAvailableOn(entryIndex));
}

// Guards against control processes that end or stop following: an id that is no text can't be
// written to the log.
TEST(LeavingUpstream, idThatIsNoText_reportAndDeregistration_areRefused)
{
    for (const auto &id :
         {std::string("i-\xff\xfe"), std::string("i-\x01"), std::string(300, 'i')}) {
        upstreamId_ = UpstreamId(id);
        CHECK(isRefused(*sendReport("ready", 1)));
        CHECK(isRefused(*deregister()));
    }
}

// Guards against the loss of other upstreams when one report is odd.
TEST(LeavingUpstream, oddReportOfAnother_received_leavesThisOneAvailable)
{
    const auto goodId = std::exchange(upstreamId_, UpstreamId("odd"));
    const auto nested = std::string(100'000, '[') + std::string(100'000, ']');
    for (
        const auto &body :
        {R"({"service":"app","address":"10.0.0.2:99999","zone":"z","version":"v1","slots":6,"coldRemainingMs":0,"state":"ready","sequence":1})"
             + std::string(),
         R"({"service":"app","address":"10.0.0.2:80","zone":"z","version":"v1","slots":6,"coldRemainingMs":0,"state":"ready","sequence":1e99})"
             + std::string(),
         R"({"service":"app","address":"10.0.0.2:80","zone":"z","version":"v1","slots":6,"coldRemainingMs":0,"state":"ready","sequence":1,
              "staged":)"
             + nested + "}"})
        CHECK(isRefused(*sendRequest("PUT", body)));
    upstreamId_ = goodId;
    sendReport("ready", 2);
    runFor(acknowledgementTimeout);
    CHECK(isAvailableOn(entryIndex) && isAvailableOn(0));
}

/// Guards against a deregistration that was read long after it was sent and withdraws a later run
/// of the upstream.
TEST(LeavingUpstream, aDeregistrationAfterAPauseOfTheProcess_received_isRefusedAndChangesNothing)
{
    mayBeLate_ = true;
    const auto reply = sendRequest("DELETE", "");
    fleet_.run(1s);
    CHECK(reply->answer_ && reply->answer_->status_ == 503);
    CHECK(isAvailableOn(0));
}
