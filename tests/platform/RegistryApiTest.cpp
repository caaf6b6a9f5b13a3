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

/// Runners that tell a control process that they leave; the last node is an entry that would send
/// them requests.
TEST_GROUP(LeavingUpstream)
{
    static constexpr auto entry = std::size_t{3};
    /// The longest that a runner waits for an answer.
    static constexpr auto answerLimit = 1s;

    ControlFleet fleet_ = ControlFleet(1, 3, 1);
    UpstreamId runner_{"i-1"};
    std::shared_ptr<LeaseholderService> watch_;
    std::unique_ptr<WithdrawalWatch> withdrawals_;
    std::unique_ptr<RegistryApi> api_;

    auto setup()->void override
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        // Leases that were granted before the start would hold up what is in force.
        fleet_.run(5s);
        auto hooks = LeaseholderHooks{};
        hooks.send_ = [](const EntryId &, const std::string &, const Json &) {};
        hooks.loads_ = [](const LoadReport &) {};
        hooks.event_ = [](const Event &) {};
        hooks.now_ = [this] { return fleet_.now(); };
        watch_ = std::make_shared<LeaseholderService>(fleet_.node(0).self_.id_, fleet_.service(0),
                                                      hooks);
        withdrawals_ = std::make_unique<WithdrawalWatch>(
            fleet_.service(0), [](const Event &) {}, [this] { return fleet_.now(); });
        api_ = std::make_unique<RegistryApi>(fleet_.service(0), *watch_, *withdrawals_,
                                             "127.0.0.1:1", [](const Event &) {});
        report("ready", 1);
        CHECK(fleet_.runUntil([this] { return mayGetWork(entry) && mayGetWork(0); }, 2s));
    }

    auto call(const std::string &method, const std::string &body)->std::shared_ptr<KeptReply>
    {
        auto reply = std::make_shared<KeptReply>();
        CHECK(api_->handle(HttpRequest{method, "/-/instances/" + runner_.text(), {}, body}, reply));
        return reply;
    }

    auto report(const std::string &state, int sequence)->std::shared_ptr<KeptReply>
    {
        return call("PUT",
                    R"({"service":"app","address":"10.0.0.1:80","zone":"z","born":7,"state":")"
                        + state + R"(","sequence":)" + std::to_string(sequence) + "}");
    }

    auto deregister()->std::shared_ptr<KeptReply>
    {
        return call("DELETE", "");
    }

    /// Whether the state that \a node follows lets the runner have new work.
    auto mayGetWork(std::size_t node)->bool
    {
        return fleet_.service(node).read([this](const FleetState &state) {
            const auto found = state.upstreams_.find(runner_);
            return found != state.upstreams_.end() && mayTakeWork(found->second);
        });
    }

    auto pass(Duration duration)->void
    {
        constexpr auto step = Duration(20ms);
        for (auto left = duration; left > Duration::zero(); left -= step) {
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
        pass(2s);
    }
};

// Guards against requests to a runner that was told that it gets none (DRAIN): without a leader its
// report reaches no entry.
TEST(LeavingUpstream, thereIsNoLeader_reportOfLeaving_isNotAcknowledged)
{
    stopOtherVoters();
    const auto reply = report("draining", 2);
    pass(answerLimit);
    CHECK_FALSE(isAcknowledged(*reply));
}

// Guards against DRAIN: a deregistration that no leader takes is forgotten.
TEST(LeavingUpstream, thereIsNoLeader_deregistration_isNotAcknowledged)
{
    stopOtherVoters();
    const auto reply = deregister();
    pass(answerLimit);
    CHECK_FALSE(isAcknowledged(*reply));
}

// Guards against DRAIN: an entry that works under an older state sends the runner requests.
TEST(LeavingUpstream, anEntryHasNotHeardOfIt_reportOfLeaving_isNotAcknowledged)
{
    fleet_.filter_ = [](std::size_t, std::size_t to, const std::string &method) {
        return to == entry && method == "control.grant";
    };
    const auto reply = report("draining", 2);
    pass(answerLimit);
    CHECK(fleet_.service(entry).mayTakeWork() && mayGetWork(entry));
    CHECK_FALSE(isAcknowledged(*reply));
}

TEST(LeavingUpstream, allEntriesHearOfIt_reportOfLeaving_isAcknowledgedInTime)
{
    const auto reply = report("draining", 2);
    pass(answerLimit);
    CHECK(isAcknowledged(*reply));
    CHECK_FALSE(mayGetWork(entry));
}

TEST(LeavingUpstream, allEntriesHearOfIt_deregistration_isAcknowledgedInTime)
{
    const auto reply = deregister();
    pass(answerLimit);
    CHECK(isAcknowledged(*reply));
    CHECK_FALSE(mayGetWork(entry));
}

// Guards against DRAIN: a control process that lags behind the log knows no such runner and forgets
// that it deregistered.
TEST(LeavingUpstream, theProcessHasNotHeardOfTheRunner_deregistration_withdrawsIt)
{
    const auto leader = *fleet_.leader();
    CHECK(leader != 0);
    fleet_.filter_ = [](std::size_t, std::size_t to, const std::string &method) {
        return to == 0 && method == "control.log";
    };
    runner_ = UpstreamId("i-2");
    fleet_.service(leader).propose(
        PutUpstream{Announcement{.upstream_ = runner_, .incarnation_ = 7}, EntryId("e2")}, nullptr);
    CHECK(fleet_.runUntil([&] { return mayGetWork(leader); }, 1s));
    CHECK_FALSE(mayGetWork(0));
    deregister();
    pass(answerLimit);
    CHECK_FALSE(mayGetWork(leader));
}

// Guards against DRAIN: a delayed report of a runner that has deregistered puts it in use again.
TEST(LeavingUpstream, aReportIsDelayed_afterDeregistration_givesTheRunnerNoWork)
{
    const auto reply = deregister();
    pass(answerLimit);
    report("ready", 2);
    pass(answerLimit);
    CHECK_FALSE(mayGetWork(entry));
}
