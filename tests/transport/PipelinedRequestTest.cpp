#include "transport/ConnectionRegistry.h"
#include "transport/HttpFixture.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// Requests that a client sends before the one before them is answered.
TEST_GROUP(PipelinedRequest)
{
    Watched<std::vector<HttpRequest>> requests_;
    Watched<std::vector<std::shared_ptr<HttpReply>>> replies_;
    std::shared_ptr<ConnectionRegistry> registry_
        = std::make_shared<ConnectionRegistry>(ConnectionLimits{}, nullptr);
    std::unique_ptr<HttpFixture> http_;
    asio::io_context context_;
    std::unique_ptr<asio::ip::tcp::socket> socket_;

    auto setup()->void override
    {
        auto settings = HttpServerSettings{};
        settings.connections_ = registry_;
        http_ = std::make_unique<HttpFixture>(
            [this](HttpRequest request, const std::shared_ptr<HttpReply> &reply) {
                requests_.change([&](auto &requests) { requests.push_back(std::move(request)); });
                replies_.change([&](auto &replies) { replies.push_back(reply); });
            },
            settings);
        socket_ = std::make_unique<asio::ip::tcp::socket>(context_);
        socket_->connect({asio::ip::make_address("127.0.0.1"), http_->server_.port()});
    }

    auto teardown()->void override
    {
        socket_.reset();
        replies_.change([](auto &replies) { replies.clear(); });
        http_.reset();
    }

    /// Writes a request of each method, `GET /0` and so on, in one go.
    auto write(const std::vector<std::string> &methods)->void
    {
        auto bytes = std::string{};
        for (std::size_t number = 0; number < methods.size(); ++number)
            bytes
                += methods[number] + " /" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\n\r\n";
        asio::write(*socket_, asio::buffer(bytes));
    }

    /// Waits for the reply to the request with this number, which is not handled before.
    auto replyTo(std::size_t number)->std::shared_ptr<HttpReply>
    {
        CHECK(replies_.waitFor([&](const auto &replies) { return replies.size() > number; }));
        return replies_.get()[number];
    }

    /// Waits until the server has read \a requests that it has not answered.
    auto waitUntilRead(std::size_t requests)->void
    {
        for (auto attempt = 0; attempt < 3000; ++attempt) {
            if (registry_->counters().openRequests_ == requests)
                return;
            std::this_thread::sleep_for(10ms);
        }
        FAIL("the requests were not read");
    }

    auto handled()->std::size_t
    {
        return replies_.get().size();
    }

    auto readUntil(const std::string &end)->std::string
    {
        auto text = std::string{};
        auto error = std::error_code{};
        asio::read_until(*socket_, asio::dynamic_buffer(text), end, error);
        return text;
    }

    /// All that comes until the server closes, without a reset.
    auto readAll()->std::string
    {
        auto text = std::string{};
        auto error = std::error_code{};
        asio::read(*socket_, asio::dynamic_buffer(text), error);
        CHECK(error == asio::error::eof);
        return text;
    }
};

TEST(PipelinedRequest, sendThreeAtOnce_areHandledOneAfterTheOtherAndAnsweredInOrder)
{
    write({"POST", "GET", "GET"});
    for (std::size_t number = 0; number < 3; ++number) {
        replyTo(number)->send({200, {}, "answer " + std::to_string(number)});
        CHECK(readUntil("answer " + std::to_string(number)).find(" 200 ") != std::string::npos);
    }
    const auto targets = requests_.get();
    STRCMP_EQUAL("/0", targets[0].target_.c_str());
    STRCMP_EQUAL("/2", targets[2].target_.c_str());
}

/// Guards against a request that runs and gets no answer (LOST): the one before it on the
/// connection is a stream that breaks off.
TEST(PipelinedRequest, behindAStreamThatIsAborted_isNotHandled)
{
    write({"GET", "POST"});
    const auto stream = replyTo(0);
    stream->begin({200, {}, "part"});
    readUntil("part");
    waitUntilRead(2);
    UNSIGNED_LONGS_EQUAL(1, handled());
    stream->abort();
    readAll();
    UNSIGNED_LONGS_EQUAL(1, handled());
}

/// Guards against LOST: a response to HEAD always closes the connection.
TEST(PipelinedRequest, behindAHeadRequest_isNotHandled)
{
    write({"HEAD", "POST"});
    const auto reply = replyTo(0);
    waitUntilRead(2);
    reply->send({200, {}, ""});
    readAll();
    UNSIGNED_LONGS_EQUAL(1, handled());
}

/// Guards against a request that was read and whose connection is closed behind the answer of the
/// one before (LOST), as when an entry stops.
TEST(PipelinedRequest, behindAnAnswerThatAsksToClose_isAnsweredBeforeTheConnectionIsClosed)
{
    write({"GET", "POST"});
    const auto first = replyTo(0);
    waitUntilRead(2);
    first->send({200, {{"Connection", "close"}}, "first answer"});
    replyTo(1)->send({200, {{"Connection", "close"}}, "second answer"});
    const auto answers = readAll();
    const auto firstEnd = answers.find("first answer");
    const auto closing = answers.find("Connection: close");
    CHECK(firstEnd != std::string::npos && answers.find("second answer") != std::string::npos);
    CHECK(closing != std::string::npos && closing > firstEnd);
}

/// Guards against a caller's time limit that begins only when the request before it is answered.
TEST(PipelinedRequest, thatHasWaited_handled_tellsWhenItWasReceived)
{
    write({"GET", "GET"});
    const auto first = replyTo(0);
    waitUntilRead(2);
    std::this_thread::sleep_for(200ms);
    const auto answeredAt = std::chrono::steady_clock::now();
    first->send({200, {}, "first"});
    replyTo(1)->send({200, {}, "second"});
    const auto received = requests_.get()[1].receivedAt_;
    CHECK(received.has_value());
    CHECK(answeredAt - *received >= 200ms);
}
