#include "client/ClientHooks.h"
#include "client/Commands.h"

#include <deque>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(RunClient)
{
    std::deque<Result<HttpResponse>> answers_;
    std::vector<HttpCall> calls_;
    MonotonicTime now_;
    std::ostringstream out_;
    std::ostringstream err_;

    auto hooks()->ClientHooks
    {
        auto hooks = ClientHooks{};
        hooks.fetch_ = [this](HttpCall call) -> Result<HttpResponse> {
            calls_.push_back(std::move(call));
            if (answers_.empty())
                return Failure{Error::ConnectionFailed, "refused", Verdict::NotRun};
            auto answer = answers_.front();
            answers_.pop_front();
            return answer;
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

    static auto answer(std::uint16_t status, const std::string &body)->HttpResponse
    {
        return HttpResponse{status, {}, body};
    }

    static auto lost()->Failure
    {
        return Failure{Error::ConnectionSilent, "silent", Verdict::MayHaveRun};
    }

    static auto accepted()->HttpResponse
    {
        return answer(200,
                      R"({"operation":"o","status":"accepted","what":"zone out a",)"
                      R"("version":4,"index":9})");
    }

    static auto entryList()->HttpResponse
    {
        return answer(200,
                      R"({"entries":[{"id":"e","address":"127.0.0.1:7","zone":"a"}],)"
                      R"("keepMs":1000})");
    }
};

TEST(RunClient, everyCommand_hasAHelpPage)
{
    for (const auto &command : commandCatalogue())
        CHECK_TEXT(!helpPage(command.name_).empty(), command.name_);
}

TEST(RunClient, aLostAnswer_isAskedForAgainUnderTheSameOperation)
{
    answers_ = {lost(), accepted()};
    CHECK(runWith({"zone", "out", "a"}) == ExitCode::Ok);
    LONGS_EQUAL(2, calls_.size());
    STRCMP_EQUAL(calls_[0].request_.body_.c_str(), calls_[1].request_.body_.c_str());
    CHECK(calls_[0].address_ != calls_[1].address_);
}

TEST(RunClient, onlyLostAnswers_end_asMayHaveRun)
{
    for (auto i = 0; i < 100; ++i)
        answers_.emplace_back(lost());
    CHECK(runWith({"zone", "out", "a"}) == ExitCode::Unreachable);
    STRCMP_CONTAINS("may have run", err_.str().c_str());
}

TEST(RunClient, aConflict_showsThePresentVersionAndDifferences)
{
    answers_ = {answer(409,
                       R"({"operation":"o","status":"conflict","what":"apply","version":5,)"
                       R"("differences":["/defaults/coldLimit: 2 -> 4"]})")};
    CHECK(runWith({"zone", "out", "a"}) == ExitCode::Conflict);
    STRCMP_CONTAINS("present version is 5", out_.str().c_str());
    STRCMP_CONTAINS("/defaults/coldLimit: 2 -> 4", out_.str().c_str());
}

TEST(RunClient, acceptedButNotInForce_waitedFor_hasItsOwnExitCode)
{
    answers_ = {accepted()};
    for (auto i = 0; i < 1000; ++i)
        answers_.emplace_back(answer(200, R"({"inForce":false,"waitingFor":["e3"]})"));
    CHECK(runWith({"zone", "out", "a", "--wait"}) == ExitCode::NotInForce);
    STRCMP_CONTAINS("e3", err_.str().c_str());
}

TEST(RunClient, aLostServiceAnswer_isSentAgainUnderTheSameKey)
{
    answers_ = {entryList(), lost(), entryList(), answer(200, "booked")};
    CHECK(runWith({"send", "service", "rounds", "POST", "/book"}) == ExitCode::Ok);
    const auto keyOf = [&](std::size_t call) {
        return calls_.at(call).request_.headers_.value("Idempotency-Key");
    };
    CHECK(!keyOf(1).empty());
    STRCMP_EQUAL(keyOf(1).c_str(), keyOf(3).c_str());
}

TEST(RunClient, anAnswerToAnotherRequest_isNotShown)
{
    auto wrong = answer(200, "other");
    wrong.headers_.add("X-Request-Id", "r-other");
    answers_ = {entryList(), wrong};
    CHECK(runWith({"send", "service", "rounds", "GET", "/x", "--deadline-ms", "60"})
          == ExitCode::Unreachable);
    CHECK(out_.str().empty());
}
