#include "transport/ConnectionRegistry.h"
#include "transport/HttpFixture.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// Requests as bytes on a connection, at a server that takes bodies of up to 100,000 bytes.
TEST_GROUP(RefusedRequest)
{
    static constexpr auto bodyLimit = std::size_t{100000};

    Watched<std::vector<HttpRequest>> requests_;
    Watched<std::vector<std::shared_ptr<HttpReply>>> kept_;
    std::shared_ptr<ConnectionRegistry> registry_;
    std::unique_ptr<HttpFixture> http_;
    asio::io_context context_;
    std::unique_ptr<asio::ip::tcp::socket> socket_;
    Duration idleTimeout_ = 60s;

    auto serve(ConnectionLimits limits = {})->void
    {
        registry_ = std::make_shared<ConnectionRegistry>(limits, nullptr);
        auto settings = HttpServerSettings{};
        settings.inputLimits_ = [this] {
            return HttpInputLimits{
                .headBytes_ = 20000, .bodyBytes_ = bodyLimit, .idleTimeout_ = idleTimeout_};
        };
        settings.connections_ = registry_;
        http_ = std::make_unique<HttpFixture>(
            [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                if (request.target_ == "/keep")
                    kept_.change([&](auto &kept) { kept.push_back(reply); });
                else
                    reply->send({200, {}, "served " + std::to_string(request.body_.size())});
                requests_.change([&](auto &requests) { requests.push_back(std::move(request)); });
            },
            settings);
        socket_ = connect();
    }

    auto connect()->std::unique_ptr<asio::ip::tcp::socket>
    {
        auto socket = std::make_unique<asio::ip::tcp::socket>(context_);
        socket->connect({asio::ip::make_address("127.0.0.1"), http_->server_.port()});
        return socket;
    }

    auto teardown()->void override
    {
        socket_.reset();
        kept_.change([](auto &kept) { kept.clear(); });
        http_.reset();
    }

    /// Writes as much as the server takes.
    auto write(const std::string &bytes)->void
    {
        auto error = std::error_code{};
        asio::write(*socket_, asio::buffer(bytes), error);
    }

    /// All that comes until the server closes.
    auto readAll()->std::string
    {
        auto text = std::string{};
        auto error = std::error_code{};
        asio::read(*socket_, asio::dynamic_buffer(text), error);
        return text;
    }

    static auto head(const std::string &target, const std::string &fields)->std::string
    {
        return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
    }

    static auto inSingleBytes(std::size_t bytes)->std::string
    {
        auto text = std::string{};
        for (auto written = std::size_t{0}; written < bytes; ++written)
            text += "1\r\nx\r\n";
        return text;
    }

    auto waitUntilSent()->bool
    {
        for (auto attempt = 0; attempt < 3000; ++attempt) {
            if (registry_->counters().unsentBytes_ == 0)
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    auto requestCount()->std::size_t
    {
        return requests_.get().size();
    }
};

TEST(RefusedRequest, anAnnouncedBodyOverTheLimit_isAnsweredWith413BeforeItIsSent)
{
    serve();
    write(head("/", "Content-Length: 1000000000\r\n"));
    const auto answer = readAll();
    CHECK(answer.starts_with("HTTP/1.1 413 Content Too Large\r\n"));
    CHECK(answer.find("\"verdict\":\"not-run\"") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(0, requestCount());
}

/// Guards against a refusal that is lost because the client still sends when the connection closes.
TEST(RefusedRequest, aChunkedBodyOverTheLimit_sentOn_isAnsweredWith413)
{
    serve();
    write(head("/", "Transfer-Encoding: chunked\r\n"));
    write(inSingleBytes(bodyLimit + 50000) + "0\r\n\r\n");
    CHECK(readAll().starts_with("HTTP/1.1 413 "));
    UNSIGNED_LONGS_EQUAL(0, requestCount());
}

/// Guards against UNASKED: the body of a refused request is not taken for another request.
TEST(RefusedRequest, aBodyThatHoldsARequest_isNotRun)
{
    serve();
    write(head("/", "Content-Length: 1000000000\r\n") + head("/smuggled", "Content-Length: 0\r\n"));
    const auto answer = readAll();
    CHECK(answer.starts_with("HTTP/1.1 413 "));
    CHECK(answer.find("200") == std::string::npos);
    UNSIGNED_LONGS_EQUAL(0, requestCount());
}

TEST(RefusedRequest, aHeadOverTheLimit_isAnsweredWith431)
{
    serve();
    write(head("/", "X-Filler: " + std::string(30000, 'x') + "\r\n"));
    CHECK(readAll().starts_with("HTTP/1.1 431 "));
    UNSIGNED_LONGS_EQUAL(0, requestCount());
}

/// Guards against a connection that is closed without an answer for too many fields.
TEST(RefusedRequest, moreFieldsThanTheLimit_areAnsweredWith431)
{
    const auto fields = [](std::size_t count) {
        auto text = std::string("Content-Length: 0\r\nConnection: close\r\n");
        for (auto written = std::size_t{3}; written < count; ++written)
            text += "X-" + std::to_string(written) + ": x\r\n";
        return text;
    };
    serve();
    write(head("/", fields(128)));
    CHECK(readAll().starts_with("HTTP/1.1 200 "));
    socket_ = connect();
    write(head("/", fields(129)));
    const auto answer = readAll();
    CHECK(answer.starts_with("HTTP/1.1 431 "));
    CHECK(answer.find("128 fields") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(1, requestCount());
}

/// Guards against LOST: a request that is being handled is answered before the refusal of a later
/// one closes their connection.
TEST(RefusedRequest, behindARequestThatIsHandled_bothAreAnsweredInOrder)
{
    serve();
    write(head("/keep", "Content-Length: 0\r\n") + head("/", "Content-Length: 1000000000\r\n"));
    CHECK(kept_.waitFor([](const auto &kept) { return !kept.empty(); }));
    kept_.get().front()->send({200, {}, "kept"});
    const auto answers = readAll();
    CHECK(answers.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(answers.find("kept") < answers.find("HTTP/1.1 413 "));
}

/// Guards against LOST: clients that send ahead fill receive buffers, which count as the memory of
/// the process, until it is killed with the answers to all other requests.
TEST(RefusedRequest, sentAheadOfAnAnswer_fillNoMoreThanTheReceiveBufferOfTheLimits)
{
    constexpr auto bufferBytes = std::size_t{8192};
    // Linux keeps twice the size that is set.
    constexpr auto mostUnread = 2 * bufferBytes;
    constexpr auto mostUnsent = 2 * bufferBytes;
    auto limits = ConnectionLimits{};
    limits.receiveBufferBytes_ = bufferBytes;
    serve(limits);
    socket_->set_option(asio::socket_base::send_buffer_size(bufferBytes));
    socket_->non_blocking(true);
    const auto request = head("/keep", "Content-Length: 0\r\n");
    constexpr auto requestsRead = std::size_t{2};
    auto sent = std::size_t{0};
    auto error = std::error_code{};
    for (auto pause = 0; pause < 20; ++pause) {
        while (!error)
            sent += socket_->write_some(asio::buffer(request), error);
        error.clear();
        std::this_thread::sleep_for(10ms);
    }
    CHECK(kept_.waitFor([](const auto &kept) { return !kept.empty(); }));
    // RESTinio reads up to its own buffer of 4 KiB ahead.
    CHECK(sent <= mostUnread + mostUnsent + requestsRead * request.size() + 4096);
}

TEST(RefusedRequest, noMemory_isAnsweredWith503AndRetryAfter)
{
    serve({10, 70000});
    write(head("/", "Content-Length: 90000\r\n") + std::string(90000, 'x'));
    const auto answer = readAll();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(answer.find("\"verdict\":\"not-run\"") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(0, requestCount());
}

TEST(RefusedRequest, aBodyWithinTheLimitInSingleBytes_isServed)
{
    serve();
    write(head("/", "Transfer-Encoding: chunked\r\nConnection: close\r\n"));
    write(inSingleBytes(bodyLimit) + "0\r\nX-Trailer: y\r\n\r\n");
    const auto answer = readAll();
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(answer.ends_with("served 100000"));
    CHECK(!requests_.get().front().headers_.find("X-Trailer"));
}

TEST(RefusedRequest, aWishForAnotherProtocol_isServedAsAnOrdinaryRequest)
{
    serve();
    write(head("/", "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 2\r\n") + "ab"
          + head("/", "Connection: close\r\nContent-Length: 3\r\n") + "abc");
    const auto answers = readAll();
    CHECK(answers.find("served 2") < answers.find("served 3"));
}

/// Guards against LOST: a process that stops took a response for sent once RESTinio had it.
TEST(RefusedRequest, aResponseThatIsNotRead_countsAsUnsentUntilItIs)
{
    constexpr auto responseBytes = std::size_t{32} * 1024 * 1024;
    serve();
    write(head("/keep", "Connection: close\r\nContent-Length: 0\r\n"));
    CHECK(kept_.waitFor([](const auto &kept) { return !kept.empty(); }));
    kept_.get().front()->send({200, {}, std::string(responseBytes, 'x')});
    auto byte = std::string(1, ' ');
    asio::read(*socket_, asio::buffer(byte));
    CHECK(registry_->counters().unsentBytes_ > 0);
    CHECK(readAll().size() > responseBytes);
    CHECK(waitUntilSent());
}

/// Guards against descriptors that silent connections take from everybody else.
TEST(RefusedRequest, allConnectionsSilent_another_isServed)
{
    serve({4, 1000000});
    auto silent = std::vector<std::unique_ptr<asio::ip::tcp::socket>>{};
    for (auto connection = 0; connection < 20; ++connection)
        silent.push_back(connect());
    socket_ = connect();
    write(head("/", "Connection: close\r\nContent-Length: 0\r\n"));
    CHECK(readAll().starts_with("HTTP/1.1 200 "));
    CHECK(registry_->counters().open_ <= 5);
}

/// Guards against idle connections that are closed by a limit of the server's own.
TEST(RefusedRequest, anIdleConnection_itsTimeIsOver_isClosedBesideOneWithARequest)
{
    idleTimeout_ = 200ms;
    serve();
    write(head("/keep", "Content-Length: 0\r\n"));
    CHECK(kept_.waitFor([](const auto &kept) { return !kept.empty(); }));
    const auto idle = connect();
    idle->non_blocking(true);
    auto error = std::error_code{asio::error::would_block};
    for (auto attempt = 0; attempt < 500 && error == asio::error::would_block; ++attempt) {
        std::this_thread::sleep_for(10ms);
        registry_->tick();
        auto byte = std::string(1, ' ');
        idle->read_some(asio::buffer(byte), error);
    }
    CHECK(error == asio::error::eof);
    kept_.get().front()->send({200, {}, ""});
    auto answer = std::string{};
    asio::read_until(*socket_, asio::dynamic_buffer(answer), "\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200 "));
}

TEST(RefusedRequest, aConnectionClosedForOthers_isClosedForItsClientToo)
{
    serve({1, 1000000});
    const auto first = std::move(socket_);
    socket_ = connect();
    auto byte = std::string(1, ' ');
    auto error = std::error_code{};
    asio::read(*first, asio::buffer(byte), error);
    CHECK(static_cast<bool>(error));
}
