#include "client/ClientHooks.h"
#include "client/Commands.h"

#include <deque>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(RunClient)
{
    std::deque<Result<HttpResponse>> responses_;
    std::vector<HttpCall> calls_;
    MonotonicTime now_;
    std::ostringstream out_;
    std::ostringstream err_;

    auto hooks()->ClientHooks
    {
        auto hooks = ClientHooks{};
        hooks.fetch_ = [this](HttpCall call) -> Result<HttpResponse> {
            calls_.push_back(std::move(call));
            if (responses_.empty())
                return Failure{Error::ConnectionFailed, "refused", Verdict::NotRun};
            auto response = responses_.front();
            responses_.pop_front();
            return response;
        };
        hooks.sleep_ = [this](Duration duration) { now_ += duration; };
        hooks.clock_ = [this] { return now_; };
        hooks.random_ = [] { return std::uint64_t{1}; };
        return hooks;
    }

    auto runWith(std::vector<std::string> arguments)->ExitCode
    {
        arguments.insert(arguments.end(), {"--entries", "127.0.0.1:1,127.0.0.1:2"});
        return runClient(arguments, hooks(), out_, err_);
    }

    static auto makeResponse(std::uint16_t status, const std::string &body)->HttpResponse
    {
        return HttpResponse{status, {}, body};
    }

    static auto lostResponse()->Failure
    {
        return Failure{Error::ConnectionSilent, "silent", Verdict::MayHaveRun};
    }

    static auto acceptedResponse()->HttpResponse
    {
        return makeResponse(200,
                            R"({"operation":"o","status":"accepted","what":"zone out a",)"
                            R"("version":4,"index":9})");
    }

    static auto entryListResponse()->HttpResponse
    {
        return makeResponse(200,
                            R"({"entries":[{"id":"e","address":"127.0.0.1:7","zone":"a"}],)"
                            R"("keepMs":1000})");
    }
};

TEST(RunClient, everyCommand_hasAHelpPage)
{
    for (const auto &command : allCommands())
        CHECK_TEXT(!helpPage(command.name_).empty(), command.name_);
}

TEST(RunClient, aLostResponse_retried_reusesTheOperationId)
{
    responses_ = {lostResponse(), acceptedResponse()};
    CHECK(runWith({"zone", "out", "a"}) == ExitCode::Ok);
    LONGS_EQUAL(2, calls_.size());
    STRCMP_EQUAL(calls_[0].request_.body_.text().c_str(), calls_[1].request_.body_.text().c_str());
    CHECK(calls_[0].address_ != calls_[1].address_);
}

TEST(RunClient, everyResponseLost_retried_endsAsMayHaveRun)
{
    for (auto i = 0; i < 100; ++i)
        responses_.emplace_back(lostResponse());
    CHECK(runWith({"zone", "out", "a"}) == ExitCode::Unreachable);
    STRCMP_CONTAINS("may have run", err_.str().c_str());
}

TEST(RunClient, aConflict_received_showsCurrentVersionAndDifferences)
{
    responses_ = {makeResponse(409,
                               R"({"operation":"o","status":"conflict","what":"apply","version":5,)"
                               R"("differences":["/defaults/coldLimit: 2 -> 4"]})")};
    CHECK(runWith({"zone", "out", "a"}) == ExitCode::Conflict);
    STRCMP_CONTAINS("present version is 5", out_.str().c_str());
    STRCMP_CONTAINS("/defaults/coldLimit: 2 -> 4", out_.str().c_str());
}

TEST(RunClient, acceptedButNotInForce_waitTimesOut_exitsWithNotInForce)
{
    responses_ = {acceptedResponse()};
    for (auto i = 0; i < 1000; ++i)
        responses_.emplace_back(makeResponse(200, R"({"inForce":false,"waitingFor":["e3"]})"));
    CHECK(runWith({"zone", "out", "a", "--wait"}) == ExitCode::NotInForce);
    STRCMP_CONTAINS("e3", err_.str().c_str());
}

TEST(RunClient, aLostServiceResponse_retried_reusesTheIdempotencyKey)
{
    responses_
        = {entryListResponse(), lostResponse(), entryListResponse(), makeResponse(200, "booked")};
    CHECK(runWith({"send", "service", "rounds", "POST", "/book"}) == ExitCode::Ok);
    const auto keyOf = [&](std::size_t call) {
        return calls_.at(call).request_.headers_.value("Idempotency-Key");
    };
    CHECK(!keyOf(1).empty());
    STRCMP_EQUAL(keyOf(1).c_str(), keyOf(3).c_str());
}

TEST(RunClient, aResponseToAnotherRequest_received_isNotShown)
{
    auto wrong = makeResponse(200, "other");
    wrong.headers_.add("X-Request-Id", "r-other");
    responses_ = {entryListResponse(), wrong};
    CHECK(runWith({"send", "service", "rounds", "GET", "/x", "--deadline-ms", "60"})
          == ExitCode::Unreachable);
    CHECK(out_.str().empty());
}
