#include "requests/ResponseAssembler.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

auto tokenEvent(const std::string &id, const std::string &content) -> std::string
{
    const auto line = id.empty() ? std::string{} : "id: " + id + "\n";
    return line + R"(data: {"choices":[{"delta":{"content":")" + content + "\"}}]}\n\n";
}

const auto roleEvent
    = std::string("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
const auto finishEvent
    = std::string("id: 2\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
const auto doneEvent = std::string("data: [DONE]\n\n");
const auto completeStream
    = roleEvent + tokenEvent("1", "ab") + tokenEvent("2", "cd") + finishEvent + doneEvent;

struct Case
{
    const char *name_;
    std::string bytes_;
    std::uint64_t earlierRunTokens_;
    std::uint64_t tokens_;
    /// Not set when the response is complete.
    std::error_code error_;
    std::string delivered_;
};

const auto cases = std::vector<Case>{
    {"whole", completeStream, 0, 0, {}, completeStream},
    {"no end mark", roleEvent + tokenEvent("1", "ab"), 0, 0, Error::IncompleteAnswer,
     roleEvent + tokenEvent("1", "ab")},
    {"nothing", "", 0, 0, Error::IncompleteAnswer, ""},
    {"a gap", tokenEvent("1", "ab") + tokenEvent("3", "ef") + doneEvent, 0, 0,
     Error::IncompleteAnswer, tokenEvent("1", "ab")},
    {"a token twice",
     tokenEvent("1", "ab") + tokenEvent("1", "ab") + tokenEvent("2", "cd") + doneEvent,
     0,
     0,
     {},
     tokenEvent("1", "ab") + tokenEvent("2", "cd") + doneEvent},
    {"resumed",
     tokenEvent("2", "cd") + tokenEvent("3", "ef") + doneEvent,
     0,
     2,
     {},
     tokenEvent("3", "ef") + doneEvent},
    {"resumed too far on", tokenEvent("4", "gh") + doneEvent, 0, 2, Error::IncompleteAnswer, ""},
    {"new run behind two tokens",
     roleEvent + tokenEvent("1", "ef") + doneEvent,
     2,
     2,
     {},
     tokenEvent("3", "ef") + doneEvent},
    {"text without id", tokenEvent("", "ab") + doneEvent, 0, 0, Error::IncompleteAnswer, ""},
    {"text before the first token", tokenEvent("0", "ab") + doneEvent, 0, 0,
     Error::IncompleteAnswer, ""},
    {"no JSON", "id: 1\ndata: {\"cho\n\n", 0, 0, Error::IncompleteAnswer, ""},
    {"no chunk", "id: 1\ndata: {\"choices\":7}\n\n", 0, 0, Error::IncompleteAnswer, ""},
    {"an error event", tokenEvent("1", "ab") + "event: error\ndata: {}\n\n", 0, 0,
     Error::UpstreamFailed, tokenEvent("1", "ab")},
    {"comments and CRLF",
     ": ping\r\n\r\nid: 1\r\ndata: {\"choices\":[]}\r\n\r\ndata: [DONE]\r\n\r\n",
     0,
     0,
     {},
     "id: 1\ndata: {\"choices\":[]}\n\n" + doneEvent},
    {"bytes behind the end", doneEvent + tokenEvent("1", "ab"), 0, 0, {}, doneEvent},
};

} // namespace

TEST_GROUP(ResponseAssembler){
    static auto head(const char *type = "text/event-stream", std::uint16_t status = 200)
        ->ResponseHead{return {status, type, RequestId("r"), AttemptId("a"), std::nullopt};
}

static auto assembler(ResponseFraming framing, std::uint64_t earlierRunTokens = 0,
                      std::uint64_t tokens = 0) -> ResponseAssembler
{
    auto progress = StreamProgress{};
    progress.earlierRunTokens_ = earlierRunTokens;
    progress.tokens_ = tokens;
    progress.roleSent_ = tokens > 0;
    return {framing, RequestId("r"), AttemptId("a"), progress};
}

/// Passes \a bytes to \a reader in parts of random sizes; returns the bytes to send to the caller.
static auto feed(ResponseAssembler &reader, std::string_view bytes, std::mt19937_64 &random)
    -> std::string
{
    auto delivered = std::string{};
    while (!bytes.empty()) {
        const auto length = std::min<std::size_t>(bytes.size(), 1 + random() % 9);
        delivered += reader.readBytes(bytes.substr(0, length));
        bytes.remove_prefix(length);
    }
    return delivered;
}
}
;

TEST(ResponseAssembler, streamsSplitAnywhere_read_giveTheSameResult)
{
    for (const auto &testCase : cases) {
        for (auto seed = 0U; seed < 50; ++seed) {
            auto random = std::mt19937_64(seed);
            auto reader = assembler(ResponseFraming::ChatStream, testCase.earlierRunTokens_,
                                    testCase.tokens_);
            CHECK(reader.readHead(head()).ok());
            STRCMP_EQUAL_TEXT(testCase.delivered_.c_str(),
                              feed(reader, testCase.bytes_, random).c_str(), testCase.name_);
            const auto end = reader.finish();
            CHECK_EQUAL_TEXT(!testCase.error_, end.ok(), testCase.name_);
            CHECK_TEXT(end.ok() || end.failure().code_ == testCase.error_, testCase.name_);
            CHECK_EQUAL_TEXT(end.ok(), reader.complete(), testCase.name_);
        }
    }
}

TEST(ResponseAssembler, randomlyCorruptedStreams_read_deliverOnlyConsecutiveTokens)
{
    for (auto seed = 0U; seed < 3000; ++seed) {
        auto random = std::mt19937_64(seed);
        auto bytes = completeStream;
        for (auto i = random() % 4; i > 0; --i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 2 == 0)
            bytes.resize(random() % bytes.size());
        auto reader = assembler(ResponseFraming::ChatStream);
        CHECK(reader.readHead(head()).ok());
        const auto delivered = feed(reader, bytes, random);
        const auto end = reader.finish();
        CHECK_EQUAL(end.ok(), reader.complete());
        CHECK(reader.progress().tokens_ <= 2);
        CHECK_EQUAL(end.ok(), delivered.ends_with(doneEvent));
    }
}

TEST(ResponseAssembler, aResponseToAnotherRequest_takeHead_isRejected)
{
    const auto ids = std::vector<std::pair<const char *, const char *>>{
        {"x", "a"}, {"r", "x"}, {"", ""}, {"a", "r"}};
    for (const auto &[request, attempt] : ids) {
        auto reader = assembler(ResponseFraming::ChatStream);
        const auto other = ResponseHead{200, "text/event-stream", RequestId(request),
                                        AttemptId(attempt), std::nullopt};
        const auto taken = reader.readHead(other);
        CHECK(!taken.ok());
        CHECK(taken.failure().code_ == Error::WrongAnswer);
        STRCMP_EQUAL("", reader.readBytes(completeStream).c_str());
        CHECK(!reader.finish().ok());
    }
}

TEST(ResponseAssembler, bodies_finish_failsForIncompleteOnes)
{
    struct Body
    {
        ResponseFraming framing_;
        std::uint16_t status_;
        const char *bytes_;
        bool whole_;
    };
    const auto bodies = std::vector<Body>{{ResponseFraming::ChatBody, 200, "{\"a\":1}", true},
                                          {ResponseFraming::ChatBody, 200, "{\"a\":", false},
                                          {ResponseFraming::ChatBody, 200, "", false},
                                          {ResponseFraming::ChatBody, 400, "no", true},
                                          {ResponseFraming::ChatStream, 400, "no", true},
                                          {ResponseFraming::ChatStream, 200, "no", false},
                                          {ResponseFraming::HttpBody, 200, "", true},
                                          {ResponseFraming::HttpBody, 500, "oh", true}};
    for (const auto &body : bodies) {
        auto reader = assembler(body.framing_);
        CHECK(reader.readHead(head("application/json", body.status_)).ok());
        STRCMP_EQUAL("", reader.readBytes(body.bytes_).c_str());
        CHECK_EQUAL_TEXT(body.whole_, reader.finish().ok(), body.bytes_);
    }
}
