#include "requests/ChatRequest.h"
#include "requests/ProblemDocument.h"
#include "requests/RequestDigest.h"
#include "requests/RouteTable.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

const auto validBody = std::string(
    R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":9,"stream":true})");

} // namespace

TEST_GROUP(ChatRequest){};

TEST(ChatRequest, aValidBody_parsed_isRead)
{
    const auto request = parseChatRequest(validBody);
    CHECK(request.ok());
    STRCMP_EQUAL("m", request->model_.c_str());
    CHECK(request->stream_ && request->maxTokens_ == 9U);
    const auto continued = parseChatRequest(continuationBody(*request, "so far", 4));
    CHECK(continued->maxTokens_ == 5U);
    CHECK_EQUAL(2U, continued->body_["messages"].size());
    STRCMP_EQUAL(request->body_.dump().c_str(), continuationBody(*request, "", 0).c_str());
}

TEST(ChatRequest, invalidBodies_parsed_nameTheJsonPath)
{
    const auto bodies = std::vector<std::pair<const char *, const char *>>{
        {"{", "is no valid JSON"},
        {"[]", "/: expected an object"},
        {"{}", "/model"},
        {R"({"model":""})", "/model"},
        {R"({"model":7})", "/model"},
        {R"({"model":"m"})", "/messages: is missing"},
        {R"({"model":"m","messages":{}})", "/messages"},
        {R"({"model":"m","messages":[]})", "/messages"},
        {R"({"model":"m","messages":[1]})", "/messages/0"},
        {R"({"model":"m","messages":[{"role":1}]})", "/messages/0/role"},
        {R"({"model":"m","messages":[{"role":"user"}]})", "/messages/0/content"},
        {R"({"model":"m","messages":[{"role":"u","content":1}]})", "/messages/0/content"},
        {R"({"model":"m","messages":[{"role":"u","content":""}],"stream":1})", "/stream"},
        {R"({"model":"m","messages":[{"role":"u","content":""}],"max_tokens":-1})", "/max_tokens"},
        {R"({"model":"m","messages":[{"role":"u","content":""}],"max_tokens":0})", "/max_tokens"},
    };
    for (const auto &[body, expectedText] : bodies) {
        const auto request = parseChatRequest(body);
        CHECK_TEXT(!request.ok(), body);
        STRCMP_CONTAINS_TEXT(expectedText, request.failure().message_.c_str(), body);
        CHECK(request.failure().verdict_ == Verdict::NotRun);
    }
}

TEST(ChatRequest, randomlyCorruptedBodies_parsed_areReadOrRefused)
{
    auto refused = 0;
    for (auto seed = 0U; seed < 3000; ++seed) {
        auto random = std::mt19937_64(seed);
        auto body = validBody;
        for (auto i = 1 + random() % 3; i > 0; --i)
            body[random() % body.size()] = static_cast<char>(random());
        const auto request = parseChatRequest(body);
        if (!request) {
            ++refused;
            CHECK(!request.failure().message_.empty());
        }
    }
    CHECK(refused > 1000);
}

TEST_GROUP(RouteTable){static auto table()->RouteTable{auto declaration = Declaration{};
declaration.pools_ = {{PoolName("p"), "m"}};
declaration.services_
    = {{PoolName("rounds"),
        {{"/search", {}, true}, {"/search/book", {"POST"}, false}, {"/live", {"GET"}, false}}}};
return RouteTable(declaration);
}
}
;

TEST(RouteTable, requests_match_tellWhetherTheyAreRepeatable)
{
    struct Call
    {
        const char *method_;
        const char *target_;
        const char *upstream_;
        bool repeatable_;
    };
    const auto calls = std::vector<Call>{
        {"POST", "/v1/chat/completions", "/v1/chat/completions", true},
        {"GET", "/services/rounds/plan?day=1", "/plan?day=1", true},
        {"HEAD", "/services/rounds", "/", true},
        {"POST", "/services/rounds/plan", "/plan", false},
        {"DELETE", "/services/rounds/plan", "/plan", false},
        {"POST", "/services/rounds/search", "/search", true},
        {"POST", "/services/rounds/search?x", "/search?x", true},
        {"POST", "/services/rounds/searching", "/searching", false},
        {"POST", "/services/rounds/search/book", "/search/book", false},
        {"PUT", "/services/rounds/search/book", "/search/book", true},
        {"GET", "/services/rounds/live/1", "/live/1", false},
    };
    for (const auto &call : calls) {
        const auto match = table().match(call.method_, call.target_);
        CHECK_TEXT(match.ok(), call.target_);
        STRCMP_EQUAL(call.upstream_, match->upstreamTarget_.c_str());
        CHECK_EQUAL_TEXT(call.repeatable_, match->repeatable_, call.target_);
    }
}

TEST(RouteTable, unknownPaths_match_listKnownNames)
{
    STRCMP_CONTAINS("rounds", table().match("GET", "/services/x/").failure().message_.c_str());
    CHECK(table().match("GET", "/v2").failure().code_ == Error::NotFound);
    CHECK(!table().match("GET", "/v1/chat/completions").ok());
    STRCMP_CONTAINS("m", table().poolOf("x").failure().message_.c_str());
    STRCMP_EQUAL("p", table().poolOf("m")->text().c_str());
}

TEST_GROUP(ProblemDocument){};

TEST(ProblemDocument, aFailure_body_hasEveryField)
{
    const auto failure = Failure{Error::InProgress, "wait \xff", Verdict::MayHaveRun};
    const auto problem = makeProblemDocument(failure, RequestId("r"));
    const auto json = Json::parse(problem.toJson());
    CHECK_EQUAL(409, json["status"].get<int>());
    STRCMP_EQUAL("urn:lycheereach:request-in-progress", json["type"].get<std::string>().c_str());
    STRCMP_EQUAL("may-have-run", json["verdict"].get<std::string>().c_str());
    STRCMP_EQUAL("r", json["requestId"].get<std::string>().c_str());
    STRCMP_CONTAINS("event: error\ndata: {", problem.toServerSentEvent().c_str());
    CHECK_EQUAL(503, httpStatusOf(Error::NotLeader));
}

TEST_GROUP(RequestDigest){};

TEST(RequestDigest, bytesMovedBetweenParts_requestDigest_differs)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                 sha256("abc").c_str());
    CHECK(requestDigest("POST", "/a", "b") != requestDigest("POST", "/ab", ""));
    CHECK(requestDigest("POST", "/a", "b") == requestDigest("POST", "/a", "b"));
}
