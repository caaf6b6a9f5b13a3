#include "transport/ConnectionRegistry.h"

#include "transport/ConnectionUsage.h"

#include <chrono>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(ConnectionRegistry)
{
    static constexpr auto mib = std::size_t{1024} * 1024;
    static constexpr auto smallBytes = std::size_t{60} * 1024;

    MonotonicTime now_ = MonotonicTime(100s);
    std::vector<Event> events_;
    std::shared_ptr<ConnectionRegistry> registry_;
    /// By the number of the connection, whether it was closed.
    std::vector<bool> closed_;

    auto limit(std::size_t connections, std::size_t bytes)->void
    {
        registry_ = std::make_shared<ConnectionRegistry>(
            ConnectionLimits{connections, bytes},
            [this](const Event &event) { events_.push_back(event); }, [this] { return now_; });
    }

    auto connect()->std::shared_ptr<ConnectionUsage>
    {
        const auto number = closed_.size();
        closed_.push_back(false);
        return registry_->admit([this, number] { closed_[number] = true; });
    }

    /// A connection that has sent a whole request before.
    auto connectUsed()->std::shared_ptr<ConnectionUsage>
    {
        auto usage = connect();
        usage->beginRequest(1s);
        usage->endRequest();
        return usage;
    }
};

TEST(ConnectionRegistry, roomForAll_requestsHeld_countsAndClosesNone)
{
    limit(10, 8 * mib);
    const auto first = connect();
    const auto second = connect();
    CHECK(first->tryHoldInput(2 * mib));
    CHECK(second->tryHoldInput(3 * mib));
    now_ += 60s;
    UNSIGNED_LONGS_EQUAL(5 * mib, registry_->counters().heldBytes_);
    second->dropInput();
    UNSIGNED_LONGS_EQUAL(2 * mib, registry_->counters().heldBytes_);
    CHECK(!closed_[0] && !closed_[1]);
}

/// Guards against memory that a crowd of unfinished requests takes from everybody else.
TEST(ConnectionRegistry, memoryFull_aRequestGrows_closesTheLargestThatMakesNoProgress)
{
    limit(10, 8 * mib);
    const auto small = connect();
    const auto large = connect();
    CHECK(small->tryHoldInput(2 * mib));
    CHECK(large->tryHoldInput(4 * mib));
    now_ += 5s;
    const auto active = connect();
    CHECK(active->tryHoldInput(3 * mib));
    CHECK(!closed_[0]);
    CHECK(closed_[1]);
    CHECK(!large->tryHoldInput(5 * mib));
    UNSIGNED_LONGS_EQUAL(5 * mib, registry_->counters().heldBytes_);
    UNSIGNED_LONGS_EQUAL(1, registry_->counters().closedForMemory_);
}

TEST(ConnectionRegistry, memoryFullOfActiveRequests_theLargestGrows_isRefused)
{
    limit(10, 8 * mib);
    const auto small = connect();
    const auto large = connect();
    CHECK(small->tryHoldInput(2 * mib));
    CHECK(large->tryHoldInput(4 * mib));
    CHECK(!large->tryHoldInput(5 * mib));
    CHECK(!closed_[0]);
    UNSIGNED_LONGS_EQUAL(6 * mib, registry_->counters().heldBytes_);
}

TEST(ConnectionRegistry, allThatLargeRequestsMayHold_aSmallRequest_hasRoomBesideThem)
{
    limit(10, 8 * mib);
    const auto large = connect();
    const auto larger = connect();
    CHECK(large->tryHoldInput(3 * mib - 1024));
    CHECK(larger->tryHoldInput(3 * mib));
    const auto small = connect();
    CHECK(small->tryHoldInput(smallBytes));
    CHECK(!closed_[0] && !closed_[1]);
}

/// Guards against LOST: a request that an upstream may have is not given up for others.
TEST(ConnectionRegistry, memoryFullOfHandledRequests_aLargeRequest_isRefused)
{
    limit(10, 8 * mib);
    const auto handled = connect();
    CHECK(handled->tryHoldInput(6 * mib));
    const auto request = handled->endRequest();
    const auto response = handled->beginResponse();
    now_ += 60s;
    const auto large = connect();
    CHECK(!large->tryHoldInput(mib));
    CHECK(large->tryHoldInput(smallBytes));
    CHECK(!closed_[0]);
}

TEST(ConnectionRegistry, aHandledRequest_isHeldUntilItIsReleased)
{
    limit(10, 8 * mib);
    auto handled = connect();
    CHECK(handled->tryHoldInput(6 * mib));
    auto request = handled->endRequest();
    handled.reset();
    UNSIGNED_LONGS_EQUAL(6 * mib, registry_->counters().heldBytes_);
    request.reset();
    UNSIGNED_LONGS_EQUAL(0, registry_->counters().heldBytes_);
}

/// Guards against responses that pile up before clients that do not read.
TEST(ConnectionRegistry, memoryFull_aResponse_closesTheConnectionThatDoesNotRead)
{
    limit(10, 8 * mib);
    const auto silent = connectUsed();
    const auto reading = connectUsed();
    const auto unread = silent->holdOutput(5 * mib);
    const auto stream = silent->beginResponse();
    const auto first = reading->holdOutput(2 * mib);
    now_ += 5s;
    reading->recordSent();
    const auto second = reading->holdOutput(2 * mib);
    CHECK(closed_[0]);
    CHECK(!closed_[1]);
    UNSIGNED_LONGS_EQUAL(4 * mib, registry_->counters().heldBytes_);
}

/// Guards against memory that is over the limit because no client has been silent for long.
TEST(ConnectionRegistry, memoryFullOfFreshResponses_another_closesTheOneThatHasWaitedLongest)
{
    limit(10, 8 * mib);
    const auto first = connectUsed();
    const auto second = connectUsed();
    const auto third = connectUsed();
    const auto oldest = first->holdOutput(3 * mib);
    now_ += 10ms;
    const auto older = second->holdOutput(4 * mib);
    now_ += 10ms;
    const auto newest = third->holdOutput(4 * mib);
    CHECK(closed_[0]);
    CHECK(!closed_[1]);
    CHECK(!closed_[2]);
}

TEST(ConnectionRegistry, allConnectionsInUse_another_closesOneThatHasNeverSentARequest)
{
    limit(3, mib);
    const auto used = connectUsed();
    now_ += 1s;
    const auto unused = connect();
    now_ += 1s;
    const auto busy = connect();
    const auto response = busy->beginResponse();
    CHECK(connect() != nullptr);
    CHECK(!closed_[0]);
    CHECK(closed_[1]);
    CHECK(!closed_[2]);
}

TEST(ConnectionRegistry, allConnectionsBusy_another_isRejected)
{
    limit(2, mib);
    const auto busy = connect();
    const auto response = busy->beginResponse();
    const auto peer = connect();
    peer->exempt();
    CHECK(connect() == nullptr);
    UNSIGNED_LONGS_EQUAL(1, registry_->counters().rejected_);
}

TEST(ConnectionRegistry, aHeadThatDoesNotEnd_tick_closesTheConnection)
{
    limit(10, mib);
    const auto slow = connect();
    slow->beginRequest(3s);
    for (auto elapsed = 0ms; elapsed < 2900ms; elapsed += 100ms) {
        now_ += 100ms;
        slow->recordReceived();
        registry_->tick();
    }
    CHECK(!closed_[0]);
    now_ += 100ms;
    registry_->tick();
    CHECK(closed_[0]);
}

TEST(ConnectionRegistry, aBody_tick_isClosedOnlyAfterTheSilence)
{
    limit(10, mib);
    const auto slow = connect();
    slow->beginRequest(3s);
    slow->endHead(1s);
    const auto wait = [&] {
        for (auto step = 0; step < 9; ++step) {
            now_ += 100ms;
            registry_->tick();
        }
    };
    for (auto part = 0; part < 10; ++part) {
        wait();
        slow->recordReceived();
    }
    CHECK(!closed_[0]);
    wait();
    now_ += 100ms;
    registry_->tick();
    CHECK(closed_[0]);
}

/// Guards against a limit for idle connections that is not the one that clients go by.
TEST(ConnectionRegistry, noRequest_tick_closesTheConnectionAfterItsIdleTime)
{
    limit(10, mib);
    const auto passTime = [&](Duration time) {
        for (auto step = 0; step < time / 100ms; ++step) {
            now_ += 100ms;
            registry_->tick();
        }
    };
    const auto unused = connect();
    const auto used = connect();
    unused->limitIdleTime(15s);
    used->limitIdleTime(60s);
    used->beginRequest(3s);
    auto request = used->endRequest();
    auto response = used->beginResponse();
    passTime(14900ms);
    CHECK(!closed_[0]);
    passTime(100ms);
    CHECK(closed_[0]);
    passTime(100s);
    auto output = used->holdOutput(1000);
    response.reset();
    passTime(100s);
    output.reset();
    passTime(59900ms);
    CHECK(!closed_[1]);
    passTime(100ms);
    CHECK(closed_[1]);
    UNSIGNED_LONGS_EQUAL(0, registry_->counters().timedOut_);
}

/// Guards against a request that runs although its connection is being closed for its idle time.
TEST(ConnectionRegistry, aClosedConnection_beginRequest_isRefused)
{
    limit(10, mib);
    const auto idle = connect();
    idle->limitIdleTime(100ms);
    now_ += 100ms;
    registry_->tick();
    CHECK(closed_[0]);
    CHECK_FALSE(idle->beginRequest(3s));
}

TEST(ConnectionRegistry, aPipelinedRequest_theFirstResponseEnds_keepsItsHeadTimeout)
{
    limit(10, mib);
    const auto usage = connectUsed();
    usage->limitIdleTime(60s);
    auto response = usage->beginResponse();
    usage->beginRequest(100ms);
    response.reset();
    now_ += 100ms;
    registry_->tick();
    CHECK(closed_[0]);
    UNSIGNED_LONGS_EQUAL(1, registry_->counters().timedOut_);
}

/// Guards against clients that lose their connections because this process was paused.
TEST(ConnectionRegistry, aPause_tick_closesNothing)
{
    limit(10, mib);
    const auto slow = connect();
    slow->beginRequest(3s);
    now_ += 10s;
    registry_->tick();
    CHECK(!closed_[0]);
}

/// Guards against a log line for each request of a crowd.
TEST(ConnectionRegistry, manyRefusals_ticks_reportOnceASecondWithCounts)
{
    limit(10, mib);
    for (auto refused = 0; refused < 100; ++refused)
        registry_->countTooLarge();
    for (auto step = 0; step < 15; ++step) {
        now_ += 100ms;
        registry_->tick();
    }
    UNSIGNED_LONGS_EQUAL(1, events_.size());
    CHECK(events_[0].number_ == EventNumber::ClientsLimited);
    CHECK(events_[0].attributes_.at("tooLarge") == "100");
}

TEST(ConnectionRegistry, memoryAndDescriptors_limits_leaveRoomForTheRest)
{
    const auto limits = connectionLimitsFor(260'000'000, 3900);
    UNSIGNED_LONGS_EQUAL(65'000'000, limits.heldBytes_);
    UNSIGNED_LONGS_EQUAL(1950, limits.connections_);
    UNSIGNED_LONGS_EQUAL(976, connectionLimitsFor(128'000'000, 3900).connections_);
    const auto unread = 2 * limits.receiveBufferBytes_ * limits.connections_;
    CHECK(unread <= 260'000'000 / 4);
}
