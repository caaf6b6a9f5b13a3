#include "base/ErrorCode.h"
#include "transport/AnswerSample.h"
#include "transport/HttpClient.h"
#include "transport/HttpFixture.h"
#include "transport/ScriptedServer.h"
#include "transport/StatusCall.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

/// Both programs and the command line take answers from this client.
TEST_GROUP(MalformedAnswer)
{
    HttpClient client_;

    /// What a call to an upstream that sends \a bytes tells. The upstream closes last if
    /// \a waitsForClient.
    auto play(const std::string &bytes, std::string body, bool waitsForClient)->CallRecord
    {
        auto isClosed = Watched<bool>{};
        auto record = Watched<CallRecord>{};
        const auto server = ScriptedServer(1, [&](asio::ip::tcp::socket &socket) {
            ScriptedServer::write(socket, bytes);
            auto error = std::error_code{};
            socket.shutdown(asio::socket_base::shutdown_send, error);
            if (waitsForClient)
                ScriptedServer::read(socket);
            isClosed.change([](bool &value) { value = true; });
        });
        auto call = HttpCall{};
        call.address_ = server.address();
        call.request_ = {"POST", "/", {}, std::move(body)};
        client_.start(std::move(call), HttpFixture::recordInto(record));
        HttpFixture::outcomeOf(record);
        CHECK(isClosed.waitFor([](bool value) { return value; }));
        return record.get();
    }

    auto checkAllMalformed(const std::vector<AnswerSample> &samples)->void
    {
        for (const auto &sample : samples) {
            const auto record = play(sample.bytes_, "", true);
            const auto &outcome = *record.outcome_;
            const auto *name = sample.name_.c_str();
            CHECK_TEXT(outcome.error_ == Error::MalformedAnswer
                           || outcome.error_ == Error::IncompleteAnswer,
                       name);
            CHECK_TEXT(outcome.verdict_ == Verdict::MayHaveRun, name);
        }
    }

    auto checkNothingPassedOn(const std::vector<AnswerSample> &samples)->void
    {
        for (const auto &sample : samples) {
            const auto record = play(sample.bytes_, "", true);
            CHECK_TEXT(record.head_ == HttpResponse{}, sample.name_.c_str());
            LONGS_EQUAL_TEXT(0, record.parts_, sample.name_.c_str());
        }
    }
};

// Guards against strictness that refuses what the protocol allows.
TEST(MalformedAnswer, soundOnesBeside_received_areWhole)
{
    for (const auto &sample : soundAnswers()) {
        for (const auto *body : {"", "a request"}) {
            const auto record = play(sample.bytes_, body, false);
            CHECK_FALSE_TEXT(record.outcome_->error_, sample.name_.c_str());
            LONGS_EQUAL_TEXT(sample.status_, record.head_.status_, sample.name_.c_str());
            CHECK_TEXT(record.body_ == sample.body_, sample.name_.c_str());
        }
    }
}

// Guards against an answer without a status, such as 000, that reaches the caller (issue 52).
TEST(MalformedAnswer, aStatusLine_received_isAnErrorAndNothingIsPassedOn)
{
    checkAllMalformed(malformedStatusLines());
    checkNothingPassedOn(malformedStatusLines());
}

// Guards against an answer with a blank or a control byte in the name of a field that reaches the
// caller, with that line or with a body that is not the upstream's (issue 52).
TEST(MalformedAnswer, aField_received_isAnErrorAndNothingIsPassedOn)
{
    checkAllMalformed(malformedFields());
    checkNothingPassedOn(malformedFields());
}

// Guards against a body that is longer or shorter than the upstream's and passes for a whole one.
TEST(MalformedAnswer, aFraming_received_isAnError)
{
    checkAllMalformed(malformedFramings());
}

// Guards against bytes behind an answer that are taken for the start of the next one.
TEST(MalformedAnswer, bytesBehindChunks_received_theConnectionIsNotUsedAgain)
{
    auto server = ScriptedServer(2, [](asio::ip::tcp::socket &socket) {
        ScriptedServer::write(socket,
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 200");
        ScriptedServer::read(socket);
    });
    for (auto request = 0; request < 2; ++request) {
        auto call = HttpCall{};
        call.address_ = server.address();
        call.request_ = {"GET", "/", {}, {}};
        const auto answer = client_.fetch(call);
        CHECK(answer.ok());
        CHECK(answer->body_ == "whole");
    }
}

// Guards against an order that counts as carried out, or a process that counts as gone, by the head
// of an answer that is not whole.
TEST(MalformedAnswer, ofAStatusCall_thatIsNotWhole_hasNoStatus)
{
    for (const auto *bytes : {"HTTP/1.1 421 Misdirected\r\nContent-Length: 9\r\n\r\nhalf",
                              "HTTP/1.1 202 Accepted\r\nContent-Length: 9x\r\n\r\nhalf"}) {
        const auto server = ScriptedServer(
            1, [&](asio::ip::tcp::socket &socket) { ScriptedServer::write(socket, bytes); });
        auto call = HttpCall{};
        call.address_ = server.address();
        call.request_ = {"POST", "/", {}, {}};
        auto statuses = Watched<std::vector<std::uint16_t>>{};
        startForStatus(client_, std::move(call), [&](std::uint16_t status, const HttpOutcome &) {
            statuses.change([&](auto &all) { all.push_back(status); });
        });
        CHECK(statuses.waitFor([](const auto &all) { return !all.empty(); }));
        LONGS_EQUAL(0, statuses.get().front());
    }
}
