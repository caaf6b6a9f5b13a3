#include "forward/ForwardService.h"
#include "control/ControlFleet.h"
#include "forward/CrashWatch.h"
#include "forward/TargetTable.h"
#include "transport/HttpClient.h"
#include "transport/KeptReply.h"
#include "transport/WorkerPool.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// One entry of a simulated fleet. Its dialect writes Retry-After in ms to the header `Pause`.
class ForwardServiceFixture : public Utest
{
protected:
    ControlFleet fleet_ = ControlFleet(1, 1, 1);
    HttpClient client_;
    WorkerPool workers_{1};
    CrashWatch crashes_{CrashWatchHooks{.now_ = [this] { return fleet_.now(); }}};
    TargetTable targets_{EntryId("e1"), ZoneName("a"), [] { return std::uint64_t{0}; }};

    auto setup() -> void override
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
    }

    auto context() -> ForwardContext
    {
        const auto readRequest = [](HttpRequest http) {
            auto request = ForwardRequest{};
            request.host_ = http.headers_.value("Host");
            request.http_ = std::move(http);
            return request;
        };
        const auto writeRefusal = [](const ForwardRefusal &refusal) {
            auto response = HttpResponse{refusal.status_, {}, refusal.reason_};
            if (refusal.retryAfter_)
                response.headers_.add("Pause",
                                      std::to_string(toMilliseconds(*refusal.retryAfter_)));
            return response;
        };
        return ForwardContext{.settings_ = {},
                              .codec_ = ForwardCodec{readRequest, nullptr, nullptr, writeRefusal},
                              .targets_ = targets_,
                              .crashes_ = crashes_,
                              .client_ = client_,
                              .workers_ = workers_,
                              .eventSink_ = [](const Event &) {},
                              .clock_ = [this] { return fleet_.now(); }};
    }

    /// Sends a request that matches no route, so that an entry that is ready responds 404.
    static auto sendRequest(ForwardService &service) -> std::shared_ptr<KeptReply>
    {
        auto reply = std::make_shared<KeptReply>();
        service.handle(HttpRequest{"GET", "/x/", {{"Host", "nowhere.example"}}, ""}, reply);
        return reply;
    }

    static auto sendAndGetResponse(ForwardService &service) -> HttpResponse
    {
        const auto reply = sendRequest(service);
        CHECK(reply->answer_.has_value());
        return *reply->answer_;
    }

    auto publish() -> void
    {
        auto declaration = Declaration{};
        declaration.zones_ = {ZoneName("a")};
        fleet_.service(*fleet_.leader())
            .propose(Command(PublishDeclaration{1, declaration, "{}"}), nullptr);
        fleet_.run(1s);
    }
};

TEST_GROUP_BASE(ForwardService, ForwardServiceFixture){};

/// An entry that is to end all requests after a grace period. Its routes have no upstream, so that
/// a request that it accepts is answered "no upstream".
TEST_GROUP_BASE(StoppingEntry, ForwardServiceFixture)
{
    std::unique_ptr<ForwardService> service_;

    auto setup()->void override
    {
        ForwardServiceFixture::setup();
        CHECK(fleet_.runUntilReady());
        auto declaration = Declaration{};
        declaration.zones_ = {ZoneName("a")};
        declaration.services_ = {Service{.name_ = PoolName("app")}};
        declaration.routes_ = {route("read", RouteKind::Safe), route("book", RouteKind::Unsafe)};
        fleet_.service(*fleet_.leader())
            .propose(Command(PublishDeclaration{1, declaration, "{}"}), nullptr);
        fleet_.run(1s);
        service_ = std::make_unique<ForwardService>(fleet_.service(1), context(),
                                                    [] { return std::uint64_t{0}; });
        service_->updateFromState();
    }

    static auto route(const std::string &name, RouteKind kind)->HttpRoute
    {
        return HttpRoute{.name_ = name,
                         .host_ = "h",
                         .pathPrefix_ = "/" + name + "/",
                         .kind_ = kind,
                         .shares_ = {{PoolName("app"), 1}},
                         .timeoutMs_ = 2000};
    }

    auto send(const std::string &name)->std::shared_ptr<KeptReply>
    {
        auto reply = std::make_shared<KeptReply>();
        service_->handle(HttpRequest{"GET", "/" + name + "/x", {{"Host", "h"}}, ""}, reply);
        return reply;
    }

    /// Cuts the entry off from control and returns the reply to a request that it holds.
    auto sendUntilHeld()->std::shared_ptr<KeptReply>
    {
        fleet_.isolatedNodes_ = {1};
        auto reply = send("read");
        while (reply->answer_.has_value()) {
            fleet_.run(50ms);
            reply = send("read");
        }
        return reply;
    }

    static auto isRefusedAsStopping(const KeptReply &reply)->bool
    {
        return reply.answer_ && reply.answer_->status_ == 503
            && reply.answer_->body_.starts_with("this entry is stopping");
    }
    static auto isAccepted(const KeptReply &reply)->bool
    {
        return reply.answer_ && reply.answer_->body_.starts_with("no upstream");
    }
};

// Guards against requests that are accepted late in a short grace period and cut off at its end.
TEST(StoppingEntry, aShortGracePeriod_lateRequest_isRefusedAtOnce)
{
    service_->beginShutdown(fleet_.now() + 2s);
    fleet_.run(700ms);
    CHECK(isAccepted(*send("read")));
    fleet_.run(100ms);
    CHECK(isRefusedAsStopping(*send("read")));
}

// Guards against requests that may not be repeated and are cut off with an unknown outcome.
TEST(StoppingEntry, aRequestThatMayNotBeRepeatedAndNotEndInTime_handle_isRefusedAtOnce)
{
    service_->beginShutdown(fleet_.now() + 2100ms);
    CHECK(isAccepted(*send("book")));
    fleet_.run(200ms);
    CHECK(isAccepted(*send("read")));
    CHECK(isRefusedAsStopping(*send("book")));
}

TEST(StoppingEntry, aLongGracePeriod_requestsOfTheAcceptTime_areAccepted)
{
    service_->beginShutdown(fleet_.now() + 7500ms);
    fleet_.run(2700ms);
    CHECK(isAccepted(*send("read")));
    CHECK(isAccepted(*send("book")));
    fleet_.run(200ms);
    CHECK(isRefusedAsStopping(*send("read")));
}

// Guards against held requests that end with the process without an answer.
TEST(StoppingEntry, aHeldRequest_theEntryEnds_isRefused)
{
    const auto held = sendUntilHeld();
    service_->beginShutdown(fleet_.now() + 500ms);
    service_->endRemainingRequests();
    CHECK(isRefusedAsStopping(*held));
}

// Guards against held requests that are forwarded late in the grace period.
TEST(StoppingEntry, aHeldRequest_releasedTooLate_isRefused)
{
    const auto held = sendUntilHeld();
    service_->beginShutdown(fleet_.now() + 100ms);
    fleet_.isolatedNodes_ = {};
    CHECK(fleet_.runUntil(
        [&] {
            service_->tick();
            return held->answer_.has_value();
        },
        5s));
    CHECK(isRefusedAsStopping(*held));
}

/// Traffic pattern: all processes start at once, and the callers refused in the first second retry
/// together.
TEST(ForwardService, theEntryHasJustStarted_handle_setsRetryAfterToTheElectionTime)
{
    auto service = ForwardService(fleet_.service(1), context(), [] { return std::uint64_t{0}; });
    const auto reply = sendRequest(service);
    CHECK_FALSE(reply->answer_.has_value());
    fleet_.stop(0);
    fleet_.run(1300ms);
    service.tick();
    CHECK(reply->answer_.has_value());
    LONGS_EQUAL(503, reply->answer_->status_);
    STRCMP_EQUAL("1500", reply->answer_->headers_.value("Pause").c_str());
}

/// Traffic pattern: all processes start at once; callers retry only once, so a refusal would be
/// the last response they get.
TEST(ForwardService, theEntryHasJustStarted_handle_holdsTheRequestUntilItHasALease)
{
    auto service = ForwardService(fleet_.service(1), context(), [] { return std::uint64_t{0}; });
    CHECK(fleet_.runUntilReady());
    const auto reply = sendRequest(service);
    CHECK_FALSE(reply->answer_.has_value());
    publish();
    service.updateFromState();
    service.tick();
    CHECK(reply->answer_.has_value());
    LONGS_EQUAL(404, reply->answer_->status_);
}

TEST(ForwardService, theCallerDisconnectsWhileItsRequestIsHeld_tick_dropsTheRequest)
{
    auto service = ForwardService(fleet_.service(1), context(), [] { return std::uint64_t{0}; });
    CHECK(fleet_.runUntilReady());
    const auto reply = sendRequest(service);
    reply->closed_();
    publish();
    service.updateFromState();
    service.tick();
    CHECK_FALSE(reply->answer_.has_value());
}

/// Failure: the leader is lost, and state leases expire shortly before the next leader renews them.
TEST(ForwardService, theLeaseHasJustExpired_handle_holdsTheRequestUntilItIsRenewed)
{
    CHECK(fleet_.runUntilReady());
    publish();
    auto service = ForwardService(fleet_.service(1), context(), [] { return std::uint64_t{0}; });
    service.updateFromState();
    fleet_.isolatedNodes_ = {1};
    auto reply = sendRequest(service);
    while (reply->answer_.has_value()) {
        fleet_.run(50ms);
        reply = sendRequest(service);
    }
    fleet_.isolatedNodes_ = {};
    CHECK(fleet_.runUntil(
        [&] {
            service.tick();
            return reply->answer_.has_value();
        },
        5s));
    LONGS_EQUAL(404, reply->answer_->status_);
}

TEST(ForwardService, theEntryIsCutOffFromControl_handle_refusesWithAShortRetryAfter)
{
    CHECK(fleet_.runUntilReady());
    publish();
    auto service = ForwardService(fleet_.service(1), context(), [] { return std::uint64_t{0}; });
    service.updateFromState();
    LONGS_EQUAL(404, sendAndGetResponse(service).status_);
    fleet_.isolatedNodes_ = {1};
    fleet_.run(10s);
    const auto refusal = sendAndGetResponse(service);
    LONGS_EQUAL(503, refusal.status_);
    STRCMP_EQUAL("300", refusal.headers_.value("Pause").c_str());
}
