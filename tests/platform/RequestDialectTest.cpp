#include "platform/RequestDialect.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;
using std::chrono::milliseconds;

TEST_GROUP(RequestDialect)
{
    ForwardCodec dialect_ = requestDialect();

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

    static auto call()->AttemptParameters
    {
        auto target = ForwardTarget{};
        target.upstream_ = UpstreamId("i-1");
        return AttemptParameters{.target_ = target,
                                 .workspace_ = WorkspaceName("w"),
                                 .remainingTime_ = milliseconds(1234),
                                 .lastEventId_ = 15};
    }
};

TEST(RequestDialect, aCallersRequest_read_saysWhatItAsksFor)
{
    const auto read = dialect_.parseRequest_(request());
    CHECK(read.id_ == RequestId("r1"));
    CHECK(read.host_ == "h.example");
    CHECK(read.apiKey_ == "secret");
    CHECK(read.callerTimeout_ == milliseconds(8000));
    CHECK(read.model_ == "m");
    UNSIGNED_LONGS_EQUAL(1460, read.promptTokens_);
    UNSIGNED_LONGS_EQUAL(80, read.maxOutputTokens_);
    UNSIGNED_LONGS_EQUAL(55, read.expectedOutputTokens_);
    CHECK(read.lastEventId_ == 12);
}

TEST(RequestDialect, aForwardedRequest_write_isTheCallersButForWhatTheSystemSets)
{
    const auto written = dialect_.writeRequest_(dialect_.parseRequest_(request()), call());
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

TEST(RequestDialect, aPublicRoute_write_passesNoWorkspaceOn)
{
    auto open = call();
    open.workspace_ = WorkspaceName();
    const auto written = dialect_.writeRequest_(dialect_.parseRequest_(request()), open);
    CHECK_FALSE(written.headers_.find("X-Tenant-Id").has_value());
}

TEST(RequestDialect, refusalsOfRunners_readHead_sayWhetherTheyRan)
{
    CHECK(dialect_.parseHead_(HttpResponse{503, {{"X-Not-Executed", "1"}}, ""}).notRun_);
    CHECK(dialect_.parseHead_(HttpResponse{421, {}, ""}).notRun_);
    CHECK_FALSE(dialect_.parseHead_(HttpResponse{503, {}, ""}).notRun_);
    CHECK_FALSE(dialect_.parseHead_(HttpResponse{500, {}, ""}).notRun_);
}

TEST(RequestDialect, anAnswer_readHead_keepsWhatTheCallerGets)
{
    const auto head = dialect_.parseHead_(HttpResponse{200,
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

TEST(RequestDialect, aRefusal_write_saysWhenToComeBack)
{
    const auto response = dialect_.writeRefusal_(ForwardRefusal{503, "why", milliseconds(1500)});
    UNSIGNED_LONGS_EQUAL(503, response.status_);
    CHECK(response.headers_.value("Retry-After") == "1.500");
}
