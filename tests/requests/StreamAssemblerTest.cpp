#include "requests/StreamAssembler.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

auto event(const std::string &id, const std::string &content) -> std::string
{
    const auto line = id.empty() ? std::string{} : "id: " + id + "\n";
    return line + R"(data: {"choices":[{"delta":{"content":")" + content + "\"}}]}\n\n";
}

const auto role = std::string("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
const auto finish
    = std::string("id: 2\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
const auto done = std::string("data: [DONE]\n\n");
const auto whole = role + event("1", "ab") + event("2", "cd") + finish + done;

struct Case
{
    const char *name_;
    std::string bytes_;
    std::uint64_t base_;
    std::uint64_t tokens_;
    /// Empty when the answer is whole.
    std::error_code error_;
    std::string out_;
};

const auto cases = std::vector<Case>{
    {"whole", whole, 0, 0, {}, whole},
    {"no end mark", role + event("1", "ab"), 0, 0, Error::IncompleteAnswer,
     role + event("1", "ab")},
    {"nothing", "", 0, 0, Error::IncompleteAnswer, ""},
    {"a gap", event("1", "ab") + event("3", "ef") + done, 0, 0, Error::IncompleteAnswer,
     event("1", "ab")},
    {"a token twice",
     event("1", "ab") + event("1", "ab") + event("2", "cd") + done,
     0,
     0,
     {},
     event("1", "ab") + event("2", "cd") + done},
    {"resumed", event("2", "cd") + event("3", "ef") + done, 0, 2, {}, event("3", "ef") + done},
    {"resumed too far on", event("4", "gh") + done, 0, 2, Error::IncompleteAnswer, ""},
    {"new run behind two tokens",
     role + event("1", "ef") + done,
     2,
     2,
     {},
     event("3", "ef") + done},
    {"text without id", event("", "ab") + done, 0, 0, Error::IncompleteAnswer, ""},
    {"text before the first token", event("0", "ab") + done, 0, 0, Error::IncompleteAnswer, ""},
    {"no JSON", "id: 1\ndata: {\"cho\n\n", 0, 0, Error::IncompleteAnswer, ""},
    {"no chunk", "id: 1\ndata: {\"choices\":7}\n\n", 0, 0, Error::IncompleteAnswer, ""},
    {"an error event", event("1", "ab") + "event: error\ndata: {}\n\n", 0, 0, Error::UpstreamFailed,
     event("1", "ab")},
    {"comments and CRLF",
     ": ping\r\n\r\nid: 1\r\ndata: {\"choices\":[]}\r\n\r\ndata: [DONE]\r\n\r\n",
     0,
     0,
     {},
     "id: 1\ndata: {\"choices\":[]}\n\n" + done},
    {"bytes behind the end", done + event("1", "ab"), 0, 0, {}, done},
};

} // namespace

TEST_GROUP(StreamAssembler){
    static auto head(const char *type = "text/event-stream", std::uint16_t status = 200)
        ->AnswerHead{return {status, type, RequestId("r"), AttemptId("a"), std::nullopt};
}

static auto assembler(AnswerKind kind, std::uint64_t base = 0, std::uint64_t tokens = 0)
    -> StreamAssembler
{
    auto progress = StreamProgress{};
    progress.earlierRunTokens_ = base;
    progress.tokens_ = tokens;
    progress.roleSent_ = tokens > 0;
    return {kind, RequestId("r"), AttemptId("a"), progress};
}

/// Feeds \a bytes in parts of random sizes; what came out, and how it ended.
static auto feed(StreamAssembler &reader, std::string_view bytes, std::mt19937_64 &random)
    -> std::string
{
    auto out = std::string{};
    while (!bytes.empty()) {
        const auto length = std::min<std::size_t>(bytes.size(), 1 + random() % 9);
        out += reader.takeBytes(bytes.substr(0, length));
        bytes.remove_prefix(length);
    }
    return out;
}
}
;

TEST(StreamAssembler, streamsCutAnywhere_taken_giveTheSame)
{
    for (const auto &one : cases) {
        for (auto seed = 0U; seed < 50; ++seed) {
            auto random = std::mt19937_64(seed);
            auto reader = assembler(AnswerKind::ChatStream, one.base_, one.tokens_);
            CHECK(reader.takeHead(head()).ok());
            STRCMP_EQUAL_TEXT(one.out_.c_str(), feed(reader, one.bytes_, random).c_str(),
                              one.name_);
            const auto end = reader.finish();
            CHECK_EQUAL_TEXT(!one.error_, end.ok(), one.name_);
            CHECK_TEXT(end.ok() || end.failure().code_ == one.error_, one.name_);
            CHECK_EQUAL_TEXT(end.ok(), reader.complete(), one.name_);
        }
    }
}

TEST(StreamAssembler, streamsWithRandomDamage_taken_deliverOnlyARunOfTokens)
{
    for (auto seed = 0U; seed < 3000; ++seed) {
        auto random = std::mt19937_64(seed);
        auto bytes = whole;
        for (auto i = random() % 4; i > 0; --i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 2 == 0)
            bytes.resize(random() % bytes.size());
        auto reader = assembler(AnswerKind::ChatStream);
        CHECK(reader.takeHead(head()).ok());
        const auto out = feed(reader, bytes, random);
        const auto end = reader.finish();
        CHECK_EQUAL(end.ok(), reader.complete());
        CHECK(reader.progress().tokens_ <= 2);
        CHECK_EQUAL(end.ok(), out.ends_with(done));
    }
}

TEST(StreamAssembler, theAnswerOfAnotherRequest_head_isRefused)
{
    const auto ids = std::vector<std::pair<const char *, const char *>>{
        {"x", "a"}, {"r", "x"}, {"", ""}, {"a", "r"}};
    for (const auto &[request, attempt] : ids) {
        auto reader = assembler(AnswerKind::ChatStream);
        const auto other = AnswerHead{200, "text/event-stream", RequestId(request),
                                      AttemptId(attempt), std::nullopt};
        const auto taken = reader.takeHead(other);
        CHECK(!taken.ok());
        CHECK(taken.failure().code_ == Error::WrongAnswer);
        STRCMP_EQUAL("", reader.takeBytes(whole).c_str());
        CHECK(!reader.finish().ok());
    }
}

TEST(StreamAssembler, bodies_finish_mustBeWhole)
{
    struct Body
    {
        AnswerKind kind_;
        std::uint16_t status_;
        const char *bytes_;
        bool whole_;
    };
    const auto bodies = std::vector<Body>{{AnswerKind::ChatBody, 200, "{\"a\":1}", true},
                                          {AnswerKind::ChatBody, 200, "{\"a\":", false},
                                          {AnswerKind::ChatBody, 200, "", false},
                                          {AnswerKind::ChatBody, 400, "no", true},
                                          {AnswerKind::ChatStream, 400, "no", true},
                                          {AnswerKind::ChatStream, 200, "no", false},
                                          {AnswerKind::Bytes, 200, "", true},
                                          {AnswerKind::Bytes, 500, "oh", true}};
    for (const auto &body : bodies) {
        auto reader = assembler(body.kind_);
        CHECK(reader.takeHead(head("application/json", body.status_)).ok());
        STRCMP_EQUAL("", reader.takeBytes(body.bytes_).c_str());
        CHECK_EQUAL_TEXT(body.whole_, reader.finish().ok(), body.bytes_);
    }
}
