#include "base/ErrorCode.h"
#include "transport/HttpClient.h"
#include "transport/HttpFixture.h"
#include "transport/ScriptedServer.h"

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// Answers that come before the upstream has read the body of the request.
TEST_GROUP(EarlyAnswer)
{
    static constexpr std::size_t uploadBytes = std::size_t{3} * 1024 * 1024;

    HttpClient client_;

    auto play(const ScriptedServer::Script &script, std::size_t bodyBytes = uploadBytes)->CallRecord
    {
        auto record = Watched<CallRecord>{};
        const auto server = ScriptedServer(1, script);
        auto call = HttpCall{};
        call.address_ = server.address();
        call.request_ = {"POST", "/", {}, std::string(bodyBytes, 'u')};
        client_.start(std::move(call), HttpFixture::recordInto(record));
        HttpFixture::outcomeOf(record);
        return record.get();
    }

    static auto endSide(asio::ip::tcp::socket & socket)->void
    {
        auto error = std::error_code{};
        socket.shutdown(asio::socket_base::shutdown_send, error);
    }

    static auto reset(asio::ip::tcp::socket & socket)->void
    {
        auto error = std::error_code{};
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    static auto checkIsIncomplete(const CallRecord &record)->void
    {
        CHECK(record.outcome_->error_ == Error::IncompleteAnswer);
        CHECK(record.outcome_->verdict_ == Verdict::MayHaveRun);
    }
};

// Guards against the part of an answer without a length that passes for the whole when the upstream
// resets the connection while the request is still being written (issue 52, MIXED).
TEST(EarlyAnswer, withoutALength_whoseConnectionIsResetDuringTheUpload_isIncomplete)
{
    for (const auto *status : {"200 OK", "404 Not Found", "500 Error"}) {
        for (const auto pause : {0ms, 1ms, 50ms}) {
            checkIsIncomplete(play([&](asio::ip::tcp::socket &socket) {
                ScriptedServer::write(socket,
                                      "HTTP/1.1 " + std::string(status) + "\r\n\r\npart of it");
                endSide(socket);
                std::this_thread::sleep_for(pause);
                reset(socket);
            }));
        }
    }
}

// As above, where the upstream reads some of the request, and closes without a reset of its own.
TEST(EarlyAnswer, withoutALength_whoseConnectionIsClosedDuringTheUpload_isIncomplete)
{
    constexpr auto rounds = 20;
    for (auto round = 0; round < rounds; ++round) {
        checkIsIncomplete(play([&](asio::ip::tcp::socket &socket) {
            ScriptedServer::read(socket, std::size_t{100000});
            ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart of it");
            socket.close();
        }));
    }
}

// Guards against an early answer of an upstream that does not want the body, which is lost.
TEST(EarlyAnswer, withoutALength_ofAnUpstreamThatReadsOn_isWhole)
{
    for (const auto *status : {"200 OK", "413 Too Large", "500 Error"}) {
        auto received = Watched<std::string>{};
        const auto record = play([&](asio::ip::tcp::socket &socket) {
            ScriptedServer::write(socket, "HTTP/1.1 " + std::string(status) + "\r\n\r\nall of it");
            endSide(socket);
            std::this_thread::sleep_for(50ms);
            const auto bytes = ScriptedServer::read(socket);
            received.change([&](std::string &value) { value = bytes; });
        });
        CHECK_FALSE(record.outcome_->error_);
        CHECK(record.body_ == "all of it");
        // Nothing but the rest of the body follows (UNASKED).
        CHECK(received.get().find_first_not_of('u') == std::string::npos);
    }
}

// An answer that tells its end is whole once it has arrived, whatever becomes of the request.
TEST(EarlyAnswer, withALengthOrInChunks_whoseConnectionIsResetAfterIt_isWhole)
{
    for (const auto *framing : {"Content-Length: 9\r\n\r\nall of it",
                                "Transfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n"}) {
        const auto record = play([&](asio::ip::tcp::socket &socket) {
            ScriptedServer::write(socket, std::string("HTTP/1.1 200 OK\r\n") + framing);
            std::this_thread::sleep_for(50ms);
            reset(socket);
        });
        CHECK_FALSE(record.outcome_->error_);
        CHECK(record.body_ == "all of it");
    }
}

// Guards against a call that never ends: the upstream neither reads on nor closes.
TEST(EarlyAnswer, withoutALength_ofAnUpstreamThatStopsReading_endsInTime)
{
    auto isEnded = Watched<bool>{};
    auto record = Watched<CallRecord>{};
    const auto server = ScriptedServer(1, [&](asio::ip::tcp::socket &socket) {
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart of it");
        endSide(socket);
        isEnded.waitFor([](bool value) { return value; });
    });
    auto call = HttpCall{};
    call.address_ = server.address();
    call.request_ = {"POST", "/", {}, std::string(16 * uploadBytes, 'u')};
    call.idleTimeout_ = 200ms;
    client_.start(std::move(call), HttpFixture::recordInto(record));
    CHECK(HttpFixture::outcomeOf(record).error_ == Error::ConnectionSilent);
    isEnded.change([](bool &value) { value = true; });
}
