#include "platform/RequestDialect.h"

#include "base/JsonCodec.h"
#include "requests/RequestFingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;
using std::chrono::milliseconds;

TEST_GROUP(RequestDialect)
{
    ForwardCodec codec_ = requestDialect();

    static auto request()->HttpRequest
    {
        return HttpRequest{"POST",
                           "/a/b?x=1",
                           {{"Host", "h.example:80"},
                            {"X-Request-Id", "r1"},
                            {"Last-Event-Id", "12"},
                            {"X-Model", "m"},
                            {"X-Token-Usage", "1460,80"},
                            {"X-Length-Hint", "55"},
                            {"X-Prefix-Hash", "5c:800"},
                            {"X-Deadline-Ms", "8000"},
                            {"X-Tenant-Id", "forged"},
                            {"Connection", "keep-alive"},
                            {"Authorization", "Token secret"}},
                           "body"};
    }

    static auto parameters()->AttemptParameters
    {
        auto target = ForwardTarget{};
        target.upstream_ = UpstreamId("i-1");
        return AttemptParameters{.target_ = target,
                                 .workspace_ = WorkspaceName("w"),
                                 .remainingTime_ = milliseconds(1234),
                                 .lastEventId_ = 15};
    }
};

TEST(RequestDialect, callerRequest_read_decodesHeaders)
{
    const auto decoded = codec_.parseRequest_(request());
    CHECK(decoded.id_ == RequestId("r1"));
    CHECK(decoded.host_ == "h.example");
    CHECK(decoded.apiKey_ == "secret");
    CHECK(decoded.callerTimeout_ == milliseconds(8000));
    CHECK(decoded.model_ == "m");
    UNSIGNED_LONGS_EQUAL(1460, decoded.promptTokens_);
    UNSIGNED_LONGS_EQUAL(80, decoded.maxOutputTokens_);
    UNSIGNED_LONGS_EQUAL(55, decoded.expectedOutputTokens_);
    CHECK(decoded.lastEventId_ == 12);
}

TEST(RequestDialect, callerRequestWithPromptParts_read_knowsAllPartsButTheLast)
{
    const auto fingerprintsFor = [](const char *parts) {
        return requestDialect()
            .parseRequest_(HttpRequest{"POST", "/a/", {{"X-Prefix-Hash", parts}}, "body"})
            .fingerprints_;
    };
    const auto whole = requestFingerprint("", "/a/", "body");
    CHECK(fingerprintsFor("5c:800,91:40,e4:250")
          == (std::vector{partFingerprint("5c"), partFingerprint("91"), whole}));
    CHECK(fingerprintsFor("5c:800") == std::vector{whole});
    CHECK(fingerprintsFor("") == std::vector{whole});
    CHECK(fingerprintsFor(",,:,").back() == whole);
}

TEST(RequestDialect, forwardedRequest_write_replacesOnlyHeadersSetByEntry)
{
    const auto written = codec_.writeRequest_(codec_.parseRequest_(request()), parameters());
    CHECK(written.method_ == "POST");
    CHECK(written.target_ == "/a/b?x=1");
    CHECK(written.body_ == "body");
    const auto &headers = written.headers_;
    CHECK(headers.value("Host") == "h.example:80");
    CHECK(headers.value("X-Prefix-Hash") == "5c:800");
    CHECK(headers.value("X-Deadline-Ms") == "1234");
    CHECK(headers.value("X-Expect-Instance") == "i-1");
    CHECK(headers.value("X-Tenant-Id") == "w");
    CHECK(headers.value("Last-Event-ID") == "15");
    CHECK_FALSE(headers.find("Authorization").has_value());
    CHECK_FALSE(headers.find("Connection").has_value());
}

TEST(RequestDialect, publicRoute_write_omitsWorkspaceHeader)
{
    auto publicParameters = parameters();
    publicParameters.workspace_ = WorkspaceName();
    const auto written = codec_.writeRequest_(codec_.parseRequest_(request()), publicParameters);
    CHECK_FALSE(written.headers_.find("X-Tenant-Id").has_value());
}

TEST(RequestDialect, upstreamRefusals_readHead_tellWhetherRequestRan)
{
    CHECK(codec_.parseHead_(HttpResponse{503, {{"X-Not-Executed", "1"}}, ""}).notRun_);
    CHECK(codec_.parseHead_(HttpResponse{421, {}, ""}).notRun_);
    CHECK_FALSE(codec_.parseHead_(HttpResponse{503, {}, ""}).notRun_);
    CHECK_FALSE(codec_.parseHead_(HttpResponse{500, {}, ""}).notRun_);
}

TEST(RequestDialect, response_readHead_keepsEndToEndHeaders)
{
    const auto head = codec_.parseHead_(HttpResponse{200,
                                                     {{"X-Request-Id", "r1"},
                                                      {"X-Response-Seal", "s"},
                                                      {"X-Instance-Load", "3,1,8"},
                                                      {"Keep-Alive", "timeout=5"}},
                                                     ""});
    CHECK(head.hasSignature_);
    CHECK(head.echoedRequestId_ == RequestId("r1"));
    CHECK(head.load_ == (ReportedLoad{3, 1, 8}));
    CHECK(head.headers_.value("X-Response-Seal") == "s");
    CHECK_FALSE(head.headers_.find("Keep-Alive").has_value());
}

TEST(RequestDialect, refusal_write_setsRetryAfter)
{
    const auto response = codec_.writeRefusal_(ForwardRefusal{503, "why", milliseconds(1500)});
    UNSIGNED_LONGS_EQUAL(503, response.status_);
    CHECK(response.headers_.value("Retry-After") == "1.500");
}

// Guards against a process that ends because a host, a model or an id echoed by an upstream, which
// the reason of a refusal quotes, has bytes that are not UTF-8.
TEST(RequestDialect, aReasonWithBytesThatAreNoText_write_isARefusal)
{
    const auto response
        = codec_.writeRefusal_(ForwardRefusal{502, "the id 'r\xff\xc3(' is another"});
    UNSIGNED_LONGS_EQUAL(502, response.status_);
    const auto body = Json::parse(response.body_);
    STRCMP_CONTAINS("is another", body.at("error").get<std::string>().c_str());
}

// Guards against an upstream that seems idle because its load did not fit.
TEST(RequestDialect, loadBeyondItsType_read_countsAsNone)
{
    for (const auto *load : {"4294967296,0,26", "1,99999999999999999999,26"}) {
        const auto head = codec_.parseHead_(HttpResponse{200, {{"X-Instance-Load", load}}, ""});
        CHECK_FALSE(head.load_.has_value());
    }
}
