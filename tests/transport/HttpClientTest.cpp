#include "transport/HttpClient.h"

#include "base/ErrorCode.h"
#include "transport/HttpFixture.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

/// Accepts one connection, reads a request head, writes \a answer and then closes or keeps silent.
class RawServer
{
public:
    RawServer(std::string answer, bool close)
        : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(context_)
        , thread_([this, answer = std::move(answer), close] { serve(answer, close); })
    { }

    ~RawServer() { thread_.join(); }
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    auto address() -> std::string
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    auto serve(const std::string &answer, bool close) -> void
    {
        acceptor_.accept(socket_);
        auto head = asio::streambuf{};
        auto error = std::error_code{};
        asio::read_until(socket_, head, "\r\n\r\n", error);
        if (error)
            return;
        // The client may close before it has read all.
        asio::write(socket_, asio::buffer(answer), error);
        if (close)
            socket_.close();
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::thread thread_;
};

} // namespace

TEST_GROUP(HttpClient)
{
    HttpClient client_;

    auto callTo(const std::string &address)->HttpCall
    {
        auto call = HttpCall{};
        call.address_ = address;
        call.request_.method_ = "GET";
        call.request_.target_ = "/";
        call.firstByteTimeout_ = std::chrono::milliseconds(200);
        call.idleTimeout_ = std::chrono::milliseconds(200);
        return call;
    }

    auto failureOf(std::string answer, bool close)->Failure
    {
        auto server = RawServer(std::move(answer), close);
        auto call = callTo(server.address());
        call.firstByteTimeout_ = close ? std::chrono::seconds(30) : call.firstByteTimeout_;
        call.idleTimeout_ = close ? std::chrono::seconds(30) : call.idleTimeout_;
        const auto answered = client_.fetch(call);
        return answered ? Failure{} : answered.failure();
    }
};

TEST(HttpClient, nobodyListening_fetch_hasNotRun)
{
    auto port = std::string{};
    {
        auto context = asio::io_context{};
        auto acceptor = asio::ip::tcp::acceptor(
            context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        port = std::to_string(acceptor.local_endpoint().port());
    }
    const auto answer = client_.fetch(callTo("127.0.0.1:" + port));
    CHECK(answer.failure().code_ == Error::ConnectionFailed);
    CHECK(answer.failure().verdict_ == Verdict::NotRun);
}

TEST(HttpClient, aRightToStartThatRanOut_fetch_hasNotRun)
{
    auto server = RawServer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true);
    auto call = callTo(server.address());
    call.mayStart_ = [] { return false; };
    const auto answer = client_.fetch(call);
    CHECK(answer.failure().code_ == Error::LeaseExpired);
    CHECK(answer.failure().verdict_ == Verdict::NotRun);
}

TEST(HttpClient, silenceBeforeTheAnswer_fetch_mayHaveRun)
{
    const auto failure = failureOf("", false);
    CHECK(failure.code_ == Error::ConnectionSilent);
    CHECK(failure.verdict_ == Verdict::MayHaveRun);
}

TEST(HttpClient, silenceWithinTheAnswer_fetch_isSilent)
{
    const auto failure = failureOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false);
    CHECK(failure.code_ == Error::ConnectionSilent);
}

// Guards against a call that is ended for silence although its owner wants to wait (LOST).
TEST(HttpClient, silenceWithAHook_start_isToldAgainAndAgainWhileTheCallGoesOn)
{
    auto server = RawServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false);
    auto silences = Watched<int>{};
    auto outcome = Watched<std::optional<HttpOutcome>>{};
    auto hooks = HttpCallHooks{};
    hooks.silent_ = [&] { silences.change([](int &count) { ++count; }); };
    hooks.ended_
        = [&](const HttpOutcome &ended) { outcome.change([&](auto &value) { value = ended; }); };
    const auto call = client_.start(callTo(server.address()), std::move(hooks));
    CHECK(silences.waitFor([](int count) { return count >= 3; }));
    CHECK_FALSE(outcome.get().has_value());
    client_.cancel(call);
    CHECK(outcome.waitFor([](const auto &value) { return value.has_value(); }));
    CHECK(outcome.get()->error_ == Error::Cancelled);
}

// Guards against a connection that is used again although an answer of another request came on it,
// so that each later request gets the answer of the one before.
TEST(HttpClient, aResponseToAnotherCall_start_endsAndItsConnectionIsNotUsedAgain)
{
    auto fixture = HttpFixture([](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->send(HttpResponse{503, {}, reply->remoteAddress()});
    });
    const auto fetch = [&](bool answersThisCall) {
        auto record = Watched<CallRecord>{};
        auto hooks = HttpFixture::recordInto(record);
        hooks.answersThisCall_ = [=](const HttpResponse &) { return answersThisCall; };
        fixture.client_.start(fixture.call("GET", "/"), std::move(hooks));
        const auto outcome = HttpFixture::outcomeOf(record);
        CHECK((outcome.error_ == Error::WrongAnswer) == !answersThisCall);
        CHECK(answersThisCall || outcome.verdict_ == Verdict::MayHaveRun);
        return record.get().body_;
    };
    const auto first = fetch(true);
    CHECK(fetch(true) == first);
    CHECK(fetch(false).empty());
    CHECK(fetch(true) != first);
}

/// Pattern: a server in trouble sends bytes that are no answer until the caller closes.
TEST(HttpClient, aHeadWithoutEnd_fetch_endsAtTheLimit)
{
    auto head = std::string("HTTP/1.1 200 OK\r\n");
    while (head.size() < HttpCall().headLimitBytes_ + 1024)
        head += "X-More: more\r\n";
    const auto failure = failureOf(head, false);
    CHECK(failure.code_ == Error::IncompleteAnswer);
    CHECK(failure.verdict_ == Verdict::MayHaveRun);
}

TEST(HttpClient, aBodyWithoutEnd_fetch_endsAtTheLimit)
{
    const auto failure = failureOf(
        "HTTP/1.1 200 OK\r\n\r\n" + std::string(HttpCall().bodyLimitBytes_ + 1, 'x'), false);
    CHECK(failure.code_ == Error::IncompleteAnswer);
    CHECK(failure.verdict_ == Verdict::MayHaveRun);
}

TEST(HttpClient, aBodyCutShort_fetch_isIncomplete)
{
    const auto failure = failureOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
    CHECK(failure.code_ == Error::IncompleteAnswer);
    CHECK(failure.verdict_ == Verdict::MayHaveRun);
}

TEST(HttpClient, chunksCutShort_fetch_isIncomplete)
{
    const auto failure
        = failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true);
    CHECK(failure.code_ == Error::IncompleteAnswer);
}

TEST(HttpClient, aRedirect_fetch_isGivenAsItIs)
{
    auto server = RawServer(
        "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", true);
    const auto answer = client_.fetch(callTo(server.address()));
    CHECK(answer.ok());
    CHECK_EQUAL(302, answer->status_);
}

TEST(HttpClient, anAddressThatIsNone_fetch_hasNotRun)
{
    const auto answer = client_.fetch(callTo("127.0.0.1:not a port"));
    CHECK(answer.failure().verdict_ == Verdict::NotRun);
}

TEST(HttpClient, destroyed_callsInProgress_areEnded)
{
    auto context = asio::io_context{};
    auto acceptor = asio::ip::tcp::acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    auto record = Watched<CallRecord>{};
    auto client = std::make_unique<HttpClient>();
    auto call = callTo("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    call.firstByteTimeout_ = std::chrono::hours(1);
    client->start(call, HttpFixture::recordInto(record));
    client.reset();
    CHECK(HttpFixture::outcomeOf(record).error_ == Error::ShuttingDown);
}

TEST_GROUP(HttpClientOnce){};

TEST(HttpClientOnce, aPooledConnectionBreaksBeforeTheAnswer_call_isNotSentAgain)
{
    auto requests = std::atomic<int>(0);
    const auto handler = [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        if (++requests == 1)
            reply->send({200, {}, "first"});
        else
            reply->abort();
    };
    auto fixture = HttpFixture(handler);
    CHECK(fixture.client_.fetch(fixture.call("GET", "/")).ok());
    const auto second = fixture.client_.fetch(fixture.call("GET", "/"));
    CHECK_FALSE(second.ok());
    CHECK(second.failure().verdict_ == Verdict::MayHaveRun);
    LONGS_EQUAL(2, requests.load());
}

// Guards against a process that ends or waits for ever because of an address that is none.
TEST(HttpClient, addressesThatAreNone_fetch_fail)
{
    for (const auto *address : {"", ":", "[", "1.2.3.4:99999", "127.0.0.1:0", "127.0.0.1:-1",
                                "127.0.0.1:8x", "a b:80", "%ff:80"})
        CHECK_FALSE_TEXT(client_.fetch(callTo(address)).ok(), address);
    CHECK(failureOf("", true).code_ == Error::IncompleteAnswer);
}
