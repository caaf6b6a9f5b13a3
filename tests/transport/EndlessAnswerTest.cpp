#include "base/ErrorCode.h"
#include "transport/HttpClient.h"
#include "transport/StatusCall.h"
#include "transport/Waiter.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <curl/curl.h>

#include <chrono>
#include <list>
#include <map>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto mebibyte = std::size_t{1024} * 1024;

/// Answers one request with a head and then with the same bytes again and again, until the caller
/// closes.
class EndlessServer
{
public:
    EndlessServer(std::string head, std::string bytes, Duration pause)
        : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this, head = std::move(head), bytes = std::move(bytes), pause] {
            serve(head, bytes, pause);
        })
    { }
    ~EndlessServer() { thread_.join(); }
    EndlessServer(const EndlessServer &) = delete;
    auto operator=(const EndlessServer &) -> EndlessServer & = delete;

    auto call() -> HttpCall
    {
        auto call = HttpCall{};
        call.address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        call.request_ = {"GET", "/", {}, {}};
        call.freshConnection_ = true;
        return call;
    }

private:
    auto serve(const std::string &head, const std::string &bytes, Duration pause) -> void
    {
        auto socket = asio::ip::tcp::socket(context_);
        acceptor_.accept(socket);
        auto request = asio::streambuf{};
        auto error = std::error_code{};
        asio::read_until(socket, request, "\r\n\r\n", error);
        asio::write(socket, asio::buffer(head), error);
        while (!error) {
            asio::write(socket, asio::buffer(bytes), error);
            std::this_thread::sleep_for(pause);
        }
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Answers that are gathered, as the receivers of both request paths do.
struct Gathered
{
    std::map<int, std::string> bodies_;
    std::map<int, HttpOutcome> outcomes_;
    std::size_t largestSum_ = 0;
};

} // namespace

/// Both request paths take the answers of upstreams from this client.
TEST_GROUP(EndlessAnswer)
{
    static constexpr std::size_t limitBytes = 8 * mebibyte;

    Watched<Gathered> gathered_;
    HttpClient client_ = HttpClient(HttpClientSettings{limitBytes});

    auto start(int number, HttpCall call)->void
    {
        auto hooks = HttpCallHooks{};
        hooks.part_ = [this, number](std::string_view part) {
            gathered_.change([&](Gathered &gathered) {
                gathered.bodies_[number] += part;
                auto sum = std::size_t{0};
                for (const auto &[key, body] : gathered.bodies_)
                    sum += body.size();
                gathered.largestSum_ = std::max(gathered.largestSum_, sum);
            });
        };
        hooks.ended_ = [this, number](const HttpOutcome &outcome) {
            gathered_.change([&](Gathered &gathered) {
                gathered.bodies_.erase(number);
                gathered.outcomes_.emplace(number, outcome);
            });
        };
        client_.start(std::move(call), std::move(hooks));
    }

    auto waitForOutcomes(std::size_t count)->void
    {
        gathered_.waitFor(
            [count](const Gathered &gathered) { return gathered.outcomes_.size() == count; });
    }
};

/// Guards against answers without end that use up the memory of the process together, each of them
/// below its own limit.
TEST(EndlessAnswer, manyBodiesWithoutEnd_gathered_endBeforeTheyHoldTooMuchTogether)
{
    constexpr auto count = 6;
    auto servers = std::list<EndlessServer>{};
    for (auto number = 0; number < count; ++number) {
        servers.emplace_back("HTTP/1.1 200 OK\r\n\r\n", std::string(mebibyte / 8, 'x'), 1ms);
        start(number, servers.back().call());
    }
    waitForOutcomes(count);
    const auto gathered = gathered_.get();
    for (const auto &[number, outcome] : gathered.outcomes_) {
        CHECK(outcome.error_ == Error::IncompleteAnswer);
        CHECK(outcome.isTooLong_);
        CHECK(outcome.verdict_ == Verdict::MayHaveRun);
    }
    CHECK(gathered.largestSum_ <= 2 * limitBytes + count * std::size_t{CURL_MAX_WRITE_SIZE});
}

/// Guards against a sound answer that is ended for the bytes of others.
TEST(EndlessAnswer, aSoundAnswerBesideOneWithoutEnd_gathered_isWhole)
{
    auto endless = EndlessServer("HTTP/1.1 200 OK\r\n\r\n", std::string(mebibyte / 4, 'x'), 1ms);
    const auto sound = std::string("HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n");
    auto slow = EndlessServer(sound, std::string(mebibyte / 16, 'y'), 10ms);
    start(0, endless.call());
    start(1, slow.call());
    waitForOutcomes(2);
    CHECK(gathered_.get().outcomes_.at(0).isTooLong_);
    CHECK_FALSE(gathered_.get().outcomes_.at(1).error_);
}

/// Guards against an error without end that is gathered like an answer.
TEST(EndlessAnswer, anErrorWithoutEnd_gathered_endsAtALowerLimit)
{
    auto server = EndlessServer("HTTP/1.1 500 Internal Server Error\r\n\r\n",
                                std::string(mebibyte / 4, 'x'), 1ms);
    start(0, server.call());
    waitForOutcomes(1);
    CHECK(gathered_.get().outcomes_.at(0).isTooLong_);
    CHECK(gathered_.get().largestSum_ <= HttpCall().errorBodyLimitBytes_);
}

/// Guards against a stream that is ended for bytes that its receiver has passed on.
TEST(EndlessAnswer, aLongStreamThatIsPassedOn_received_isNotEnded)
{
    const auto length = std::to_string(2 * limitBytes);
    auto server = EndlessServer("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n",
                                std::string(mebibyte, 'x'), 0ms);
    auto outcome = Watched<std::optional<HttpOutcome>>{};
    auto hooks = HttpCallHooks{};
    hooks.ended_ = [&](const HttpOutcome &ended) {
        outcome.change([&](std::optional<HttpOutcome> &value) { value = ended; });
    };
    hooks.heldBytes_ = [](std::size_t) { return std::size_t{0}; };
    client_.start(server.call(), std::move(hooks));
    outcome.waitFor([](const std::optional<HttpOutcome> &value) { return value.has_value(); });
    CHECK_FALSE(outcome.get()->error_);
}

/// Guards against an order or a probe that stays in progress for ever: each byte of its answer ends
/// the silence.
TEST(EndlessAnswer, theBodyOfAStatusCallTrickles_waited_endsInTime)
{
    auto server = EndlessServer("HTTP/1.1 200 OK\r\n\r\n", "x", 20ms);
    auto call = server.call();
    call.connectTimeout_ = call.firstByteTimeout_ = call.idleTimeout_ = 200ms;
    auto outcome = Watched<std::optional<HttpOutcome>>{};
    startForStatus(client_, std::move(call), [&](std::uint16_t, const HttpOutcome &ended) {
        outcome.change([&](std::optional<HttpOutcome> &value) { value = ended; });
    });
    outcome.waitFor([](const std::optional<HttpOutcome> &value) { return value.has_value(); });
    CHECK(outcome.get().has_value());
    CHECK(outcome.get()->error_ == Error::ConnectionSilent);
}
