#include "transport/PeerNetwork.h"

#include "transport/Waiter.h"
#include "transport/WorkerPool.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

struct Heard
{
    std::vector<std::string> messages_;
    int keyRejected_ = 0;
    int silent_ = 0;
};

/// A network with its clock and what its hooks were told.
class Node
{
public:
    Node(WorkerPool &workers, const std::string &id, const std::string &key,
         const std::string &address = "127.0.0.1:0", std::int64_t wallUs = 1000)
        : clock_([wallUs] { return WallTime(std::chrono::microseconds(wallUs)); })
    {
        auto settings = PeerNetworkSettings{EntryId(id), address, key};
        settings.silenceTimeout_ = std::chrono::milliseconds(400);
        settings.heartbeatInterval_ = std::chrono::milliseconds(50);
        settings.queueLimitBytes_ = 64U << 10U;
        network_ = std::make_unique<PeerNetwork>(workers, clock_, settings, hooks());
        error_ = network_->start();
    }

    auto address() -> std::string { return "127.0.0.1:" + std::to_string(network_->port()); }

    auto waitFor(const std::function<bool(const Heard &)> &wanted) -> bool
    {
        return heard_.waitFor(wanted);
    }

    HybridClock clock_;
    Watched<Heard> heard_;
    std::unique_ptr<PeerNetwork> network_;
    std::error_code error_;

private:
    auto hooks() -> PeerNetworkHooks
    {
        auto hooks = PeerNetworkHooks{};
        hooks.received_ = [this](const EntryId &from, const PeerMessage &message) {
            heard_.change([&](Heard &heard) {
                heard.messages_.push_back(from.text() + ":" + message.params_.dump());
            });
        };
        hooks.keyRejected_ = [this](const std::string &) {
            heard_.change([](Heard &heard) { ++heard.keyRejected_; });
        };
        hooks.silent_
            = [this](const EntryId &) { heard_.change([](Heard &heard) { ++heard.silent_; }); };
        return hooks;
    }
};

auto hasMessages(std::size_t count)
{
    return [count](const Heard &heard) { return heard.messages_.size() >= count; };
}

} // namespace

TEST_GROUP(PeerNetwork)
{
    WorkerPool workers_ = WorkerPool(3);
    std::unique_ptr<Node> first_;
    std::unique_ptr<Node> second_;

    auto setup()->void override
    {
        first_ = std::make_unique<Node>(workers_, "a", "key");
        CHECK(!first_->error_);
    }

    auto connectSecond(const std::string &key, std::int64_t wallUs = 1000)->void
    {
        second_ = std::make_unique<Node>(workers_, "b", key, "127.0.0.1:0", wallUs);
        first_->network_->setPeer(EntryId("b"), second_->address());
    }

    auto sendNumbers(int count)->void
    {
        for (auto number = 0; number < count; ++number)
            first_->network_->send(EntryId("b"), PeerMessage{"test", number});
    }

    auto teardown()->void override
    {
        first_->network_->stop();
        if (second_)
            second_->network_->stop();
        workers_.stop();
        first_.reset();
        second_.reset();
    }
};

TEST(PeerNetwork, messages_sent_arriveInOrder)
{
    connectSecond("key");
    sendNumbers(200);
    CHECK(second_->waitFor(hasMessages(200)));
    const auto messages = second_->heard_.get().messages_;
    for (auto number = 0; number < 200; ++number)
        CHECK(messages[number] == "a:" + std::to_string(number));
    CHECK_EQUAL(200, first_->network_->counters().messagesSent_);
}

TEST(PeerNetwork, aPeerWithoutKnownAddress_sentTo_isReachedOverItsConnection)
{
    connectSecond("key");
    sendNumbers(1);
    CHECK(second_->waitFor(hasMessages(1)));
    for (auto number = 0; number < 50; ++number)
        second_->network_->send({EntryId("a"), EntryId("unknown")}, PeerMessage{"test", number});
    CHECK(first_->waitFor(hasMessages(50)));
    const auto messages = first_->heard_.get().messages_;
    for (auto number = 0; number < 50; ++number)
        CHECK(messages[number] == "b:" + std::to_string(number));
    CHECK_EQUAL(50, second_->network_->counters().messagesDropped_);
}

TEST(PeerNetwork, messagesThatSupersede_waitingForTheConnection_leaveOnlyTheLast)
{
    connectSecond("key");
    const auto address = second_->address();
    second_->network_->stop();
    second_.reset();
    for (auto number = 0; number < 5; ++number)
        first_->network_->send(EntryId("b"), PeerMessage{"renew", number, true});
    first_->network_->send(EntryId("b"), PeerMessage{"test", 9});
    second_ = std::make_unique<Node>(workers_, "b", "key", address);
    CHECK(second_->waitFor(hasMessages(2)));
    CHECK(second_->heard_.get().messages_ == (std::vector<std::string>{"a:4", "a:9"}));
}

TEST(PeerNetwork, aMessageToOneself_isReceived)
{
    first_->network_->send(EntryId("a"), PeerMessage{"test", 1});
    CHECK(first_->waitFor(hasMessages(1)));
}

TEST(PeerNetwork, aStampFromAhead_received_isObserved)
{
    connectSecond("key");
    first_->clock_.observe(HybridTime{5000, 0});
    sendNumbers(1);
    CHECK(second_->waitFor(hasMessages(1)));
    CHECK(second_->clock_.now() > (HybridTime{5000, 0}));
}

TEST(PeerNetwork, anotherKey_connecting_isRejected)
{
    connectSecond("other");
    sendNumbers(1);
    CHECK(first_->waitFor([](const Heard &heard) { return heard.keyRejected_ > 0; }));
    CHECK(second_->heard_.get().messages_.empty());
}

TEST(PeerNetwork, aPeerThatRestarts_isReachedAgain)
{
    connectSecond("key");
    sendNumbers(1);
    CHECK(second_->waitFor(hasMessages(1)));
    const auto address = second_->address();
    second_->network_->stop();
    second_ = std::make_unique<Node>(workers_, "b", "key", address);
    CHECK(!second_->error_);
    auto arrived = false;
    for (auto attempt = 0; attempt < 3000 && !arrived; ++attempt) {
        sendNumbers(1);
        auto pause = Watched<int>{};
        const auto timer = workers_.after(std::chrono::milliseconds(10),
                                          [&] { pause.change([](int &over) { over = 1; }); });
        pause.waitFor([](int over) { return over == 1; });
        arrived = !second_->heard_.get().messages_.empty();
    }
    CHECK(arrived);
}

TEST(PeerNetwork, aPeerThatFallsSilent_isGivenUpAndCalledAgain)
{
    auto context = asio::io_context{};
    auto listener = asio::ip::tcp::acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    first_->network_->setPeer(EntryId("b"),
                              "127.0.0.1:" + std::to_string(listener.local_endpoint().port()));
    const auto mute = listener.accept();
    CHECK(first_->waitFor([](const Heard &heard) { return heard.silent_ > 0; }));
    const auto again = listener.accept();
    CHECK(again.is_open());
}

TEST(PeerNetwork, moreThanTheQueueHolds_sent_isDropped)
{
    connectSecond("key");
    const auto large = std::string(40000, 'x');
    for (auto count = 0; count < 50; ++count)
        first_->network_->send(EntryId("b"), PeerMessage{"test", large + large});
    CHECK_EQUAL(50, first_->network_->counters().messagesDropped_);
    sendNumbers(1);
    CHECK(second_->waitFor(hasMessages(1)));
}

TEST(PeerNetwork, bytesThatAreNoHandshake_closeTheConnection)
{
    auto context = asio::io_context{};
    for (const auto *bytes : {"\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n", "\0\0\0\1{"}) {
        auto socket = asio::ip::tcp::socket(context);
        socket.connect({asio::ip::address_v4::loopback(), first_->network_->port()});
        asio::write(socket, asio::buffer(std::string(bytes, 5)));
        auto error = std::error_code{};
        auto answer = std::array<char, 1>{};
        asio::read(socket, asio::buffer(answer), error);
        CHECK(error == asio::error::eof || error == asio::error::connection_reset);
    }
}
