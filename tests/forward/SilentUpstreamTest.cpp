#include "base/SystemClock.h"
#include "forward/CrashWatch.h"
#include "forward/ForwardContext.h"
#include "forward/ForwardedRequest.h"
#include "forward/RoutedRequest.h"
#include "forward/TargetTable.h"
#include "state/FleetState.h"
#include "transport/HttpFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

/// One step of what a stand-in upstream does: it waits, then sends.
struct Step
{
    Duration pause_{};
    std::string bytes_;
};

/// What the caller has received so far.
struct Received
{
    std::uint16_t status_ = 0;
    std::string body_;
    bool isWhole_ = false;
    bool isAborted_ = false;

    [[nodiscard]] auto hasEnded() const -> bool { return isWhole_ || isAborted_; }
};

class RecordedReply : public HttpReply
{
public:
    explicit RecordedReply(Watched<Received> &received)
        : received_(received)
    { }

    auto send(HttpResponse response) -> void override
    {
        received_.change([&](Received &received) {
            received = Received{response.status_, std::move(response.body_), true, false};
        });
    }
    auto begin(HttpResponse head) -> void override
    {
        received_.change([&](Received &received) {
            received = Received{head.status_, std::move(head.body_), false, false};
        });
    }
    auto write(std::string part, Written) -> void override
    {
        received_.change([&](Received &received) { received.body_ += part; });
    }
    auto finish() -> void override
    {
        received_.change([](Received &received) { received.isWhole_ = true; });
    }
    auto abort() -> void override
    {
        received_.change([](Received &received) { received.isAborted_ = true; });
    }
    auto onClosed(std::function<void()>) -> void override { }
    [[nodiscard]] auto remoteAddress() const -> std::string override { return "127.0.0.1:1"; }

private:
    Watched<Received> &received_;
};

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

/// An entry before two stand-in upstreams of one pool, u1 and u2. The first attempt goes to u1.
TEST_GROUP(SilentUpstream)
{
    /// u2 refuses every request without running it.
    static constexpr auto refusing = std::uint16_t{503};

    std::vector<Step> steps_;
    PoolName pool_{"service"};
    FleetState state_;
    Watched<Received> received_;
    WorkerPool timers_{1};
    std::shared_ptr<Timer> step_;
    TargetTable targets_{EntryId("e"), ZoneName("a"), [] { return std::uint64_t{0}; }};
    CrashWatch crashes_{CrashWatchHooks{.now_ = readMonotonic}};
    std::unique_ptr<HttpFixture> silent_;
    std::unique_ptr<HttpFixture> refusing_;
    std::unique_ptr<ForwardContext> context_;

    auto setup()->void override
    {
        silent_ = std::make_unique<HttpFixture>([this](const HttpRequest &, const auto &reply) {
            reply->begin(HttpResponse{200, {{"Signature", "s"}}, ""});
            timers_.post([this, reply] { play(reply, 0); });
        });
        refusing_ = std::make_unique<HttpFixture>([](const HttpRequest &, const auto &reply) {
            reply->send(HttpResponse{refusing, {}, "full"});
        });
        addUpstream("u1", silent_->server_.port());
        addUpstream("u2", refusing_->server_.port());
        targets_.update(state_);
        context_ = std::make_unique<ForwardContext>(makeContext());
    }

    auto teardown()->void override
    {
        timers_.stop();
        // Holds a reply of silent_.
        step_.reset();
        silent_.reset();
        refusing_.reset();
    }

    auto play(const std::shared_ptr<HttpReply> &reply, std::size_t index)->void
    {
        if (index == steps_.size()) {
            reply->finish();
            return;
        }
        step_ = timers_.after(steps_[index].pause_, [this, reply, index] {
            reply->write(steps_[index].bytes_, nullptr);
            play(reply, index + 1);
        });
    }

    auto addUpstream(const std::string &id, std::uint16_t port)->void
    {
        const auto upstream = UpstreamId(id);
        const auto announced = Announcement{.upstream_ = upstream,
                                            .incarnation_ = 1,
                                            .address_ = "127.0.0.1:" + std::to_string(port),
                                            .zone_ = ZoneName("a"),
                                            .pool_ = pool_,
                                            .kind_ = UpstreamKind::Service};
        state_.upstreams_[upstream] = Upstream{announced, EntryId("c"), false, false};
    }

    auto makeContext()->ForwardContext
    {
        const auto writeRequest = [](const ForwardRequest &request, const AttemptParameters &) {
            return HttpRequest{"POST", request.http_.target_, {}, ""};
        };
        const auto parseHead = [](const HttpResponse &response) {
            return ForwardResponseHead{.status_ = response.status_,
                                       .echoedRequestId_ = RequestId("r"),
                                       .notRun_ = response.status_ == refusing,
                                       .hasSignature_
                                       = response.headers_.find("Signature").has_value()};
        };
        const auto writeRefusal = [](const ForwardRefusal &refusal) {
            return HttpResponse{refusal.status_, {}, refusal.reason_};
        };
        return ForwardContext{.settings_ = {},
                              .codec_
                              = ForwardCodec{nullptr, writeRequest, parseHead, writeRefusal},
                              .targets_ = targets_,
                              .crashes_ = crashes_,
                              .client_ = silent_->client_,
                              .workers_ = silent_->workers_,
                              .isLeaving_ = [] { return false; },
                              .declarationAge_ = [] { return DeclarationAge{}; },
                              .tryTakeRetry_ = [](const PoolName &) { return true; },
                              .onGroupSuspected_ = [](const UpstreamId &) {},
                              .onProgress_ = [](const UpstreamId &) {},
                              .eventSink_ = [](const Event &) {},
                              .clock_ = readMonotonic};
    }

    /// Sends one request while u1 plays \a steps; calls \a meanwhile once the first event is there.
    auto request(RouteKind kind, std::uint32_t attemptLimit, std::vector<Step> steps,
                 const std::function<void()> &meanwhile = nullptr)
        ->Received
    {
        steps_ = std::move(steps);
        auto forward = ForwardRequest{};
        forward.id_ = RequestId("r");
        forward.http_ = HttpRequest{"POST", "/x/", {}, ""};
        forward.arrivedAt_ = readMonotonic();
        auto route = HttpRoute{};
        route.kind_ = kind;
        route.timeoutMs_ = 8000;
        route.attemptLimit_ = attemptLimit;
        auto finished = Watched<bool>{};
        {
            const auto active = std::make_shared<ForwardedRequest>(
                *context_,
                RoutedRequest{std::move(forward), route, WorkspaceName(), 5, pool_, pool_},
                std::make_shared<RecordedReply>(received_), [&](const ForwardedRequest *) {
                    finished.change([](bool &value) { value = true; });
                });
            active->start();
        }
        if (meanwhile) {
            received_.waitFor([](const Received &received) { return !received.body_.empty(); });
            meanwhile();
        }
        CHECK(received_.waitFor([](const Received &received) { return received.hasEnded(); }));
        CHECK(finished.waitFor([](bool value) { return value; }));
        return received_.get();
    }

    static auto checkIsWhole(const Received &received)->void
    {
        STRCMP_EQUAL((event(1) + event(2)).c_str(), received.body_.c_str());
        LONGS_EQUAL(200, received.status_);
        CHECK_FALSE(received.isAborted_);
    }
};

// Guards against a begun stream that the entry breaks off because its sound upstream is silent for
// a while (LOST).
TEST(SilentUpstream, aStreamThatMayNotBeResumed_isSilentWithinTheStream_arrivesWhole)
{
    checkIsWhole(request(RouteKind::Stream, 2, {{0ms, event(1)}, {1600ms, event(2)}}));
}

// Guards against a begun stream that is broken off by a timeout although no other attempt is left.
TEST(SilentUpstream, theLastAttemptAllowed_isSilentWithinTheStream_arrivesWhole)
{
    checkIsWhole(request(RouteKind::ResumableStream, 1, {{0ms, event(1)}, {1600ms, event(2)}}));
}

// Guards against a request that gets 502 while its only attempt runs at a sound upstream.
TEST(SilentUpstream, theLastAttemptAllowed_isSilentBeforeTheFirstEvent_arrivesWhole)
{
    checkIsWhole(request(RouteKind::Stream, 1, {{2200ms, event(1)}, {0ms, event(2)}}));
}

// Guards against a stream that is cancelled to be continued elsewhere before it is known that
// another upstream takes it.
TEST(SilentUpstream, theOtherUpstreamRefuses_isSilentWithinTheStream_arrivesWhole)
{
    checkIsWhole(request(RouteKind::ResumableStream, 2, {{0ms, event(1)}, {1600ms, event(2)}}));
}

// Guards against a stream that is broken off by a timeout for bytes without a complete event.
TEST(SilentUpstream, theOtherUpstreamRefuses_sendsAnEventInPieces_arrivesWhole)
{
    checkIsWhole(request(RouteKind::ResumableStream, 2,
                         {{0ms, event(1)},
                          {1000ms, event(2).substr(0, 3)},
                          {900ms, event(2).substr(3, 3)},
                          {300ms, event(2).substr(6)}}));
}

TEST(SilentUpstream, aBodyOfASafeRequest_isSilentWithinTheBody_arrivesWhole)
{
    checkIsWhole(request(RouteKind::Safe, 2, {{0ms, event(1)}, {1600ms, event(2)}}));
}

// Guards against a stream that ends without an answer beside a change of the configuration.
TEST(SilentUpstream, theTargetsChangeMeanwhile_isSilentWithinTheStream_arrivesWhole)
{
    const auto change = [this] {
        state_.upstreams_.erase(UpstreamId("u1"));
        state_.upstreams_.erase(UpstreamId("u2"));
        targets_.update(state_);
    };
    checkIsWhole(
        request(RouteKind::ResumableStream, 2, {{0ms, event(1)}, {1600ms, event(2)}}, change));
}
