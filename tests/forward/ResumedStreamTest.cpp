#include "base/ErrorCode.h"
#include "forward/ForwardStateMachine.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::forward_event;
using std::chrono::seconds;

namespace {

/// How the answer of an upstream ends after a part of its bytes.
enum class Ending {
    /// The connection of an answer with neither a length nor chunks is closed: a crash looks like
    /// an end.
    Undelimited,
    /// The whole answer with its last chunk.
    Delimited,
    /// The connection is reset, or a length or chunks are not complete.
    Broken,
};

} // namespace

TEST_GROUP(ResumedStream)
{
    auto setup()->void override
    {
        auto plan = ForwardPlan{.requestId_ = RequestId("r"),
                                .kind_ = RouteKind::ResumableStream,
                                .deadline_ = now_ + seconds(5),
                                .attemptLimit_ = 2};
        request_.emplace(std::move(plan), [] { return true; });
        handle(Start{});
    }
    auto teardown()->void override
    {
        request_.reset();
    }

    static auto wholeStream()->std::string
    {
        auto text = std::string{};
        for (auto id = 1; id <= 3; ++id)
            text += "id: " + std::to_string(id) + "\ndata: piece\n\n";
        return text;
    }

    /// The stream up to a byte within its last event.
    static auto cutStream()->std::string
    {
        return wholeStream().substr(0, wholeStream().size() - 8);
    }

    auto handle(const ForwardEvent &event)->void
    {
        for (const auto &action : request_->handle(event, now_)) {
            if (const auto *begin = std::get_if<forward_action::BeginStream>(&action))
                received_ += begin->events_;
            if (const auto *send = std::get_if<forward_action::SendEvents>(&action))
                received_ += send->events_;
            isEnded_ = isEnded_ || std::holds_alternative<forward_action::EndStream>(action);
            isAborted_
                = isAborted_ || std::holds_alternative<forward_action::AbortResponse>(action);
            wantsTarget_ = std::holds_alternative<forward_action::ChooseTarget>(action);
        }
    }

    /// The next attempt, at an upstream that sends \a bytes and ends them as \a ending says.
    auto runAttempt(const std::string &bytes, Ending ending)->void
    {
        ++attempt_;
        const auto upstream = UpstreamId("u" + std::to_string(attempt_));
        handle(TargetChosen{ForwardTarget{upstream, 1, "127.0.0.1:1", PoolName("p"), {}}});
        handle(ResponseHeadReceived{attempt_,
                                    ForwardResponseHead{.status_ = 200,
                                                        .echoedRequestId_ = RequestId("r"),
                                                        .hasSignature_ = true}});
        if (!bytes.empty())
            handle(AttemptData{attempt_, bytes});
        auto ended = AttemptEnded{.attempt_ = attempt_,
                                  .verdict_ = Verdict::Ran,
                                  .isDelimited_ = ending == Ending::Delimited};
        if (ending == Ending::Broken) {
            ended.error_ = Error::IncompleteAnswer;
            ended.verdict_ = Verdict::MayHaveRun;
        }
        handle(ended);
    }

    MonotonicTime now_{seconds(100)};
    std::optional<ForwardStateMachine> request_;
    std::uint32_t attempt_ = 0;
    std::string received_;
    bool isEnded_ = false;
    bool isAborted_ = false;
    bool wantsTarget_ = false;
};

/// Guards against a stream that is ended as complete because the upstream where it was resumed
/// crashed before its first event there.
TEST(ResumedStream, theSecondUpstreamEndsBeforeItsFirstEvent_ended_isBrokenOff)
{
    runAttempt(cutStream(), Ending::Undelimited);
    CHECK(wantsTarget_);
    runAttempt("", Ending::Undelimited);
    CHECK_FALSE(isEnded_);
    CHECK(isAborted_);
}

/// Guards against an end that is taken from a delimited answer although an event was cut before.
TEST(ResumedStream, theSecondUpstreamHasNoEventAfterACutOne_ended_isBrokenOff)
{
    runAttempt(cutStream(), Ending::Undelimited);
    runAttempt("", Ending::Delimited);
    CHECK_FALSE(isEnded_);
    CHECK(isAborted_);
}

/// Guards against an end behind events that the caller had before.
TEST(ResumedStream, theSecondUpstreamRepeatsEventsAndEnds_ended_isBrokenOff)
{
    runAttempt(cutStream(), Ending::Broken);
    runAttempt("id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n", Ending::Undelimited);
    CHECK_FALSE(isEnded_);
    CHECK(isAborted_);
}

TEST(ResumedStream, onlyTheEndWasLost_resumed_isComplete)
{
    runAttempt(wholeStream(), Ending::Broken);
    CHECK(wantsTarget_);
    runAttempt("", Ending::Delimited);
    CHECK(isEnded_);
    STRCMP_EQUAL(wholeStream().c_str(), received_.c_str());
}

/// Guards against the class: whatever two upstreams send before they end, a stream that ends as
/// complete has all its events once.
TEST(ResumedStream, twoUpstreamsEndAtAnyByte_ended_neverLooksCompleteWithAnEventMissing)
{
    const auto whole = wholeStream();
    for (std::size_t first = 0; first <= whole.size(); ++first) {
        for (std::size_t second = 0; second <= whole.size(); ++second) {
            for (const auto ending : {Ending::Undelimited, Ending::Broken}) {
                teardown();
                setup();
                attempt_ = 0;
                received_.clear();
                isEnded_ = wantsTarget_ = false;
                runAttempt(whole.substr(0, first), ending);
                const auto before = received_.size();
                const auto isResumed = wantsTarget_;
                if (isResumed)
                    runAttempt(whole.substr(before).substr(0, second), Ending::Undelimited);
                // An undelimited answer that ends behind a whole event has no sign of a crash.
                const auto lastBytes = isResumed ? second : first;
                const auto endsAtEvent
                    = lastBytes > 0 && (isResumed ? before : 0) + lastBytes == received_.size();
                CHECK_TEXT(!isEnded_ || endsAtEvent || received_ == whole,
                           ("ended after " + std::to_string(first) + " and "
                            + std::to_string(second) + " bytes")
                               .c_str());
            }
        }
    }
}
