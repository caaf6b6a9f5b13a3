#include "forward/ForwardStateMachine.h"

#include "base/ErrorCode.h"

#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::forward_event;
namespace action = lycheereach::forward_action;
using std::chrono::seconds;

TEST_GROUP(ForwardStateMachine)
{
    MonotonicTime now_{seconds(100)};
    int retries_ = 0;
    int retryLimit_ = 9;
    std::vector<ForwardAction> actions_;

    auto makeStateMachine(RouteKind kind, std::uint32_t attemptLimit = 2)->ForwardStateMachine
    {
        const auto plan = ForwardPlan{.requestId_ = RequestId("r"),
                                      .kind_ = kind,
                                      .deadline_ = now_ + seconds(5),
                                      .attemptLimit_ = attemptLimit};
        return ForwardStateMachine(plan, [this] { return retries_++ < retryLimit_; });
    }

    auto handle(ForwardStateMachine & stateMachine, const ForwardEvent &event)->void
    {
        actions_ = stateMachine.handle(event, now_);
    }

    /// Reports the upstream \a id as the chosen target, which starts an attempt.
    auto startAttempt(ForwardStateMachine & stateMachine, const std::string &id)->void
    {
        handle(stateMachine, TargetChosen{target(id)});
    }

    static auto target(const std::string &id)->ForwardTarget
    {
        return ForwardTarget{UpstreamId(id), 1, "127.0.0.1:1", PoolName("p"), {}};
    }

    /// An attempt at u1 of a request that may be what crashes upstreams.
    auto makeUnprovenStream()->ForwardStateMachine
    {
        const auto plan = ForwardPlan{.requestId_ = RequestId("r"),
                                      .kind_ = RouteKind::ResumableStream,
                                      .deadline_ = now_ + seconds(5),
                                      .attemptLimit_ = 2};
        auto request = ForwardStateMachine(
            plan, [this] { return retries_++ < retryLimit_; }, [] { return true; });
        handle(request, Start{});
        startAttempt(request, "u1");
        return request;
    }

    /// A stream of u1 that is silent after its first event, and an attempt at u2 beside it.
    auto makeMovingStream(std::uint32_t attemptLimit = 2)->ForwardStateMachine
    {
        auto request = makeStateMachine(RouteKind::ResumableStream, attemptLimit);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, ResponseHeadReceived{1, head(200)});
        handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
        handle(request, TargetStalled{target("u2")});
        CHECK(find<action::StartAttempt>()->lastEventId_ == std::optional<std::uint64_t>(1));
        CHECK(find<action::CancelAttempt>() == nullptr);
        return request;
    }

    static auto head(std::uint16_t status, bool isSigned = true)->ForwardResponseHead
    {
        return ForwardResponseHead{.status_ = status,
                                   .headers_ = {},
                                   .echoedRequestId_ = RequestId("r"),
                                   .hasSignature_ = isSigned};
    }

    static auto endedNormally()->AttemptEnded
    {
        return AttemptEnded{1, {}, Verdict::Ran, ""};
    }

    static auto brokenConnection(std::uint32_t number, Verdict verdict)->AttemptEnded
    {
        return AttemptEnded{number, make_error_code(Error::IncompleteAnswer), verdict, "reset"};
    }

    template <typename Action>
    auto find()->const Action *
    {
        for (const auto &item : actions_) {
            if (const auto *found = std::get_if<Action>(&item))
                return found;
        }
        return nullptr;
    }
};

TEST(ForwardStateMachine, aWholeResponse_ended_isForwardedUnchanged)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200)});
    handle(request, AttemptData{1, "body"});
    CHECK(find<action::SendResponse>() == nullptr);
    handle(request, endedNormally());
    CHECK(find<action::SendResponse>()->body_ == "body");
    CHECK(request.isFinished());
}

TEST(ForwardStateMachine, anUnsafeRequestThatMayHaveRun_connectionBroken_isNotRetried)
{
    auto request = makeStateMachine(RouteKind::Unsafe, 3);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() == nullptr);
    UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::MayHaveRun);
}

TEST(ForwardStateMachine, anUnsafeRequestThatDidNotRun_refusedByTheUpstream_isRetriedAtAnother)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    startAttempt(request, "u1");
    auto refusal = head(503, false);
    refusal.notRun_ = true;
    handle(request, ResponseHeadReceived{1, refusal});
    handle(request, endedNormally());
    CHECK(find<action::ChooseTarget>()->avoid_.contains(UpstreamId("u1")));
}

TEST(ForwardStateMachine, allAttemptsRefused_ended_refusesAsNotRunWithRetryAfter)
{
    auto request = makeStateMachine(RouteKind::Unsafe, 1);
    handle(request, Start{});
    startAttempt(request, "u1");
    auto refusal = head(503, false);
    refusal.notRun_ = true;
    handle(request, ResponseHeadReceived{1, refusal});
    handle(request, endedNormally());
    UNSIGNED_LONGS_EQUAL(503, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::NotRun);
    CHECK(find<action::SendRefusal>()->refusal_.retryAfter_.has_value());
}

TEST(ForwardStateMachine, aSafeRequestThatFailed_ended_isRetriedWithinTheBudget)
{
    auto request = makeStateMachine(RouteKind::Safe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(500)});
    handle(request, endedNormally());
    CHECK(find<action::ChooseTarget>() != nullptr);
}

TEST(ForwardStateMachine, aSafeRequestThatFailedWithoutBudget_ended_forwardsTheUpstreamsError)
{
    retryLimit_ = 0;
    auto request = makeStateMachine(RouteKind::Safe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(500)});
    handle(request, AttemptData{1, "why"});
    handle(request, endedNormally());
    UNSIGNED_LONGS_EQUAL(500, find<action::SendResponse>()->head_.status_);
    CHECK(find<action::SendResponse>()->body_ == "why");
}

/// Guards against MIXED: the part of a failure that had arrived was sent as the whole of it, with
/// the signature of the upstream.
TEST(ForwardStateMachine, aFailureThatIsBrokenOff_ended_isNotForwardedAsAWholeOne)
{
    for (const auto kind : {RouteKind::Safe, RouteKind::Unsafe, RouteKind::Stream}) {
        retryLimit_ = 0;
        auto request = makeStateMachine(kind);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, ResponseHeadReceived{1, head(500)});
        handle(request, AttemptData{1, "half of"});
        handle(request, brokenConnection(1, Verdict::MayHaveRun));
        CHECK(find<action::SendResponse>() == nullptr);
        UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
    }
}

TEST(ForwardStateMachine, aResponseToAnotherRequest_head_isNeverForwarded)
{
    auto request = makeStateMachine(RouteKind::Safe);
    handle(request, Start{});
    startAttempt(request, "u1");
    auto wrong = head(200);
    wrong.echoedRequestId_ = RequestId("other");
    handle(request, ResponseHeadReceived{1, wrong});
    CHECK(find<action::CancelAttempt>() != nullptr);
    handle(request, AttemptData{1, "not yours"});
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::SendResponse>() == nullptr);
    CHECK(find<action::ChooseTarget>() != nullptr);
}

// Guards against a request that is told "not run" (REFUSED), or sent to another upstream (TWICE),
// because a faulty upstream writes an earlier refusal once more on a kept connection.
TEST(ForwardStateMachine, aRefusalOfAnotherRequest_head_isNoRefusalOfThisOne)
{
    for (const auto isOtherInstance : {false, true}) {
        auto request = makeStateMachine(RouteKind::Unsafe, 3);
        handle(request, Start{});
        startAttempt(request, "u1");
        auto refusal = head(503, false);
        refusal.notRun_ = true;
        refusal.isOtherInstance_ = isOtherInstance;
        refusal.echoedRequestId_ = RequestId("earlier");
        handle(request, ResponseHeadReceived{1, refusal});
        CHECK(find<action::CancelAttempt>() != nullptr);
        handle(request,
               AttemptEnded{1, make_error_code(Error::WrongAnswer), Verdict::MayHaveRun, ""});
        CHECK(find<action::ChooseTarget>() == nullptr);
        UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
        CHECK(find<action::SendRefusal>()->verdict_ == Verdict::MayHaveRun);
        CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Failed);
    }
}

TEST(ForwardStateMachine, aSuccessWithoutSignature_head_isNeverForwarded)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200, false)});
    CHECK(find<action::CancelAttempt>() != nullptr);
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
}

TEST(ForwardStateMachine, aBrokenResumableStream_ended_resumesAfterTheLastWholeEvent)
{
    auto request = makeStateMachine(RouteKind::ResumableStream);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200)});
    handle(request, AttemptData{1, "id: 1\ndata: a\n\nid: 2\nda"});
    CHECK(find<action::BeginStream>()->events_ == "id: 1\ndata: a\n\n");
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
    startAttempt(request, "u2");
    CHECK(find<action::StartAttempt>()->lastEventId_ == 1);
    handle(request, ResponseHeadReceived{2, head(200)});
    handle(request, AttemptData{2, "id: 2\ndata: b\n\n"});
    CHECK(find<action::SendEvents>()->events_ == "id: 2\ndata: b\n\n");
    handle(request, AttemptEnded{2, {}, Verdict::Ran, ""});
    CHECK(find<action::EndStream>() != nullptr);
}

/// Guards against events of one run that are joined to those of another (ORDER, MIXED): an event
/// source that reconnects names its last event on every kind of stream.
TEST(ForwardStateMachine, aLastEventIdForAStreamThatMayNotBeResumed_started_comesWhole)
{
    for (const auto kind : {RouteKind::Stream, RouteKind::ResumableStream}) {
        const auto isResumable = kind == RouteKind::ResumableStream;
        const auto plan = ForwardPlan{.requestId_ = RequestId("r"),
                                      .kind_ = kind,
                                      .deadline_ = now_ + seconds(5),
                                      .lastEventId_ = 1};
        auto request = ForwardStateMachine(
            plan, [] { return false; }, [] { return false; });
        handle(request, Start{});
        startAttempt(request, "u1");
        CHECK(find<action::StartAttempt>()->lastEventId_.has_value() == isResumable);
        handle(request, ResponseHeadReceived{1, head(200)});
        handle(request, AttemptData{1, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"});
        const auto *whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        CHECK(find<action::BeginStream>()->events_ == (isResumable ? "id: 2\ndata: b\n\n" : whole));
    }
}

TEST(ForwardStateMachine, aBrokenStreamThatMayNotBeResumed_ended_isAbortedForTheCaller)
{
    auto request = makeStateMachine(RouteKind::Stream);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200)});
    handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::AbortResponse>() != nullptr);
    CHECK(find<action::EndStream>() == nullptr);
}

// Guards against a crash behind a whole event that counts as a success without a doubt.
TEST(ForwardStateMachine, anUndelimitedStream_ended_isASuccessThatACrashMayHaveEnded)
{
    for (const auto isDelimited : {false, true}) {
        auto request = makeStateMachine(RouteKind::ResumableStream);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, ResponseHeadReceived{1, head(200)});
        handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
        handle(request,
               AttemptEnded{.attempt_ = 1, .verdict_ = Verdict::Ran, .isDelimited_ = isDelimited});
        CHECK(find<action::EndStream>() != nullptr);
        CHECK(find<action::RecordSuccess>()->isDelimited_ == isDelimited);
        CHECK(find<action::RecordSuccess>()->target_ == target("u1"));
    }
}

TEST(ForwardStateMachine, anErrorResponse_ended_isNoSuccess)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(500)});
    handle(request, endedNormally());
    CHECK(find<action::SendResponse>() != nullptr);
    CHECK(find<action::RecordSuccess>() == nullptr);
}

TEST(ForwardStateMachine, aStreamThatEndsWithinAnEvent_ended_doesNotLookComplete)
{
    auto request = makeStateMachine(RouteKind::ResumableStream, 1);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200)});
    handle(request, AttemptData{1, "id: 1\ndata: a\n\nid: 2"});
    handle(request, endedNormally());
    CHECK(find<action::EndStream>() == nullptr);
    CHECK(find<action::AbortResponse>() != nullptr);
}

/// Failure: a faulty server sends bytes that never form an event until the connection is closed.
TEST(ForwardStateMachine, anEventWithoutEnd_data_cancelsTheAttempt)
{
    auto request = makeStateMachine(RouteKind::ResumableStream);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200)});
    constexpr auto length = std::size_t{2} * 1024 * 1024;
    handle(request, AttemptData{1, "id: 1\ndata: " + std::string(length, 'x')});
    CHECK(find<action::CancelAttempt>() != nullptr);
    CHECK(find<action::BeginStream>() == nullptr);
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
}

TEST(ForwardStateMachine, theCallerOfASafeRequestDisconnects_event_cancelsTheAttempt)
{
    auto request = makeStateMachine(RouteKind::Safe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, CallerDisconnected{});
    CHECK(find<action::CancelAttempt>() != nullptr);
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() == nullptr);
    CHECK(request.isFinished());
}

TEST(ForwardStateMachine, theDeadlinePassesBeforeAnyAttempt_event_refusesAsNotRun)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    handle(request, DeadlinePassed{});
    UNSIGNED_LONGS_EQUAL(503, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::NotRun);
}

TEST(ForwardStateMachine, theDeadlinePassesDuringAnAttempt_event_refusesAsMayHaveRun)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, DeadlinePassed{});
    UNSIGNED_LONGS_EQUAL(504, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::MayHaveRun);
}

TEST(ForwardStateMachine, noTargetAvailable_event_refusesAsNotRunWithRetryAfter)
{
    auto request = makeStateMachine(RouteKind::Safe);
    handle(request, Start{});
    handle(request,
           NoTargetAvailable{Failure{.code_ = make_error_code(Error::Overloaded),
                                     .message_ = "none",
                                     .retryAfter_ = seconds(2)}});
    UNSIGNED_LONGS_EQUAL(503, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->refusal_.retryAfter_ == seconds(2));
}

/// Failure: the instances of one zone are down, and those of the other zones have capacity.
TEST(ForwardStateMachine, nothingListensAtTwoUpstreams_ended_triesAThirdWithoutUsingTheRetryBudget)
{
    auto request = makeStateMachine(RouteKind::Unsafe, 1);
    handle(request, Start{});
    for (auto number = std::uint32_t{1}; number <= 2; ++number) {
        startAttempt(request, "u" + std::to_string(number));
        handle(request,
               AttemptEnded{number, make_error_code(Error::ConnectionFailed), Verdict::NotRun,
                            "refused", true});
        CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Unavailable);
        CHECK(find<action::ChooseTarget>() != nullptr);
    }
    LONGS_EQUAL(0, retries_);
    startAttempt(request, "u3");
    handle(request, ResponseHeadReceived{3, head(200)});
    handle(request, AttemptEnded{3, {}, Verdict::Ran, ""});
    CHECK(find<action::SendResponse>() != nullptr);
}

TEST(ForwardStateMachine, noUpstreamCanBeConnected_ended_refusesAsNotRunAfterFourAttempts)
{
    auto request = makeStateMachine(RouteKind::Unsafe, 1);
    handle(request, Start{});
    for (auto number = std::uint32_t{1}; number <= 4; ++number) {
        startAttempt(request, "u" + std::to_string(number));
        handle(request,
               AttemptEnded{number, make_error_code(Error::ConnectionFailed), Verdict::NotRun,
                            "refused", true});
    }
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::NotRun);
}

TEST(ForwardStateMachine, anotherInstanceResponds_ended_reportsTheTargetUnavailable)
{
    auto request = makeStateMachine(RouteKind::Safe);
    handle(request, Start{});
    startAttempt(request, "u1");
    auto misdirected = head(421, false);
    misdirected.notRun_ = true;
    misdirected.isOtherInstance_ = true;
    handle(request, ResponseHeadReceived{1, misdirected});
    handle(request, endedNormally());
    CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Unavailable);
}

// Guards against this entry cancelling the stream of a slow group without an attempt left: the
// stream would be lost, although it may progress again a little later.
TEST(ForwardStateMachine, theLastAttemptAllowed_targetStalled_isNotCancelled)
{
    auto request = makeStateMachine(RouteKind::ResumableStream, 2);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, TargetStalled{target("u2")});
    CHECK(find<action::StartAttempt>()->target_ == target("u2"));
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() == nullptr);
    CHECK_FALSE(request.mayMoveFrom(target("u2")));
    handle(request, TargetStalled{target("u3")});
    CHECK(find<action::StartAttempt>() == nullptr);
    CHECK(find<action::CancelAttempt>() == nullptr);
    CHECK(find<action::ReleaseTarget>()->target_ == target("u3"));
    LONGS_EQUAL(1, retries_);
}

// Guards against cancelling a stream that can't be continued because the retry budget is spent.
TEST(ForwardStateMachine, theBudgetIsSpent_targetStalled_doesNotCancelTheAttempt)
{
    retryLimit_ = 0;
    auto request = makeStateMachine(RouteKind::ResumableStream);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, TargetStalled{target("u2")});
    LONGS_EQUAL(1, actions_.size());
    CHECK(find<action::ReleaseTarget>()->target_ == target("u2"));
}

TEST(ForwardStateMachine, aRequestThatIsNoResumableStream_targetStalled_isNotCancelled)
{
    for (const auto kind : {RouteKind::Unsafe, RouteKind::Safe, RouteKind::Stream}) {
        auto request = makeStateMachine(kind);
        handle(request, Start{});
        startAttempt(request, "u1");
        CHECK_FALSE(request.mayMoveFrom(target("u1")));
        handle(request, TargetStalled{target("u2")});
        LONGS_EQUAL(1, actions_.size());
        CHECK(find<action::ReleaseTarget>()->target_ == target("u2"));
    }
}

// Guards against a stream with missing events that looks complete (ORDER): the last events of its
// first attempt arrive after another upstream was tried.
TEST(ForwardStateMachine, theStreamEndsWhileItIsMoved_ended_isForwardedWhole)
{
    auto request = makeMovingStream();
    handle(request, AttemptData{1, "id: 2\ndata: b\n\n"});
    STRCMP_EQUAL("id: 2\ndata: b\n\n", find<action::SendEvents>()->events_.c_str());
    handle(request, endedNormally());
    CHECK(find<action::EndStream>() != nullptr);
}

// Guards against a stream that is broken off because the upstream that was tried beside its silent
// one refuses it (LOST).
TEST(ForwardStateMachine, theOtherUpstreamRefuses_ended_goesOnAtTheSilentOne)
{
    auto request = makeMovingStream();
    auto refusal = head(503, false);
    refusal.notRun_ = true;
    handle(request, ResponseHeadReceived{2, refusal});
    handle(request, AttemptEnded{2, {}, Verdict::Ran, ""});
    LONGS_EQUAL(1, actions_.size());
    CHECK(find<action::ReleaseTarget>()->target_ == target("u2"));
    handle(request, AttemptData{1, "id: 2\ndata: b\n\n"});
    STRCMP_EQUAL("id: 2\ndata: b\n\n", find<action::SendEvents>()->events_.c_str());
    handle(request, endedNormally());
    CHECK(find<action::EndStream>() != nullptr);
    CHECK(request.isFinished());
}

// Guards against the text of an error of the second upstream that ends the request while the first
// may go on.
TEST(ForwardStateMachine, theOtherUpstreamAnswersAnError_ended_goesOnAtTheSilentOne)
{
    for (const auto status : {400, 404, 500}) {
        auto request = makeStateMachine(RouteKind::ResumableStream);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, TargetStalled{target("u2")});
        handle(request, ResponseHeadReceived{2, head(static_cast<std::uint16_t>(status))});
        handle(request, AttemptData{2, "no"});
        handle(request, AttemptEnded{2, {}, Verdict::Ran, ""});
        LONGS_EQUAL(1, actions_.size());
        CHECK(find<action::ReleaseTarget>() != nullptr);
        handle(request, ResponseHeadReceived{1, head(200)});
        handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
        CHECK(find<action::BeginStream>() != nullptr);
    }
}

// Guards against pieces of two runs that are joined (ORDER): both upstreams send the same events.
TEST(ForwardStateMachine, bothUpstreamsSendEvents_data_onlyTheFirstToSendIsForwarded)
{
    auto request = makeMovingStream();
    handle(request, ResponseHeadReceived{2, head(200)});
    handle(request, AttemptData{2, "id: 2\ndata: second\n\n"});
    CHECK(find<action::SendEvents>()->attempt_ == 2);
    CHECK(find<action::CancelAttempt>()->attempt_ == 1);
    handle(request, AttemptData{1, "id: 2\ndata: first\n\nid: 3\ndata: first\n\n"});
    CHECK(actions_.empty());
    handle(request, AttemptEnded{1, make_error_code(Error::Cancelled), Verdict::MayHaveRun, ""});
    CHECK(find<action::ReleaseTarget>()->target_ == target("u1"));
    CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Failed);
    handle(request, AttemptEnded{2, {}, Verdict::Ran, ""});
    CHECK(find<action::EndStream>() != nullptr);
    CHECK(request.isFinished());
}

TEST(ForwardStateMachine, theSilentUpstreamGoesOn_data_cancelsTheOtherAttempt)
{
    auto request = makeMovingStream();
    handle(request, AttemptData{1, "id: 2\ndata: b\n\n"});
    CHECK(find<action::CancelAttempt>()->attempt_ == 2);
    handle(request, AttemptEnded{2, make_error_code(Error::Cancelled), Verdict::MayHaveRun, ""});
    CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Responded);
    CHECK_FALSE(request.isFinished());
}

// Guards against a target that stays reserved: the upstream that continues the stream fails before
// the cancelled attempt has ended, and a third one is tried.
TEST(ForwardStateMachine, aThirdAttemptBeginsBeforeACancelledOneEnds_ended_releasesAllTargets)
{
    auto request = makeMovingStream(3);
    handle(request, ResponseHeadReceived{2, head(200)});
    handle(request, AttemptData{2, "id: 2\ndata: b\n\n"});
    handle(request, brokenConnection(2, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
    startAttempt(request, "u3");
    LONGS_EQUAL(2, *find<action::StartAttempt>()->lastEventId_);
    handle(request, AttemptEnded{1, make_error_code(Error::Cancelled), Verdict::MayHaveRun, ""});
    CHECK(find<action::ReleaseTarget>()->target_ == target("u1"));
    CHECK(find<action::AbortResponse>() == nullptr);
    handle(request, ResponseHeadReceived{3, head(200)});
    handle(request, AttemptData{3, "id: 3\ndata: c\n\n"});
    STRCMP_EQUAL("id: 3\ndata: c\n\n", find<action::SendEvents>()->events_.c_str());
}

TEST(ForwardStateMachine, twoAttemptsAreOpen_callerDisconnects_bothAreCancelled)
{
    auto request = makeMovingStream();
    handle(request, CallerDisconnected{});
    LONGS_EQUAL(2, actions_.size());
    handle(request, brokenConnection(1, Verdict::MayHaveRun));
    CHECK_FALSE(request.isFinished());
    handle(request, brokenConnection(2, Verdict::MayHaveRun));
    CHECK(request.isFinished());
}

// Guards against an attempt that never ends: its caller has left and its upstream stays silent.
TEST(ForwardStateMachine, theCallerOfAnUnsafeRequestHasLeft_deadlinePassed_cancelsTheAttempt)
{
    auto request = makeStateMachine(RouteKind::Unsafe);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, CallerDisconnected{});
    CHECK(actions_.empty());
    handle(request, DeadlinePassed{});
    CHECK(find<action::CancelAttempt>() != nullptr);
}

// Guards against a request that crashes a second upstream within one attempt of its caller
// (BUDGET).
TEST(ForwardStateMachine, aRequestThatMayHaveCrashedItsUpstream_connectionBroken_isNotSentAgain)
{
    for (const auto hasBegun : {false, true}) {
        auto request = makeUnprovenStream();
        if (hasBegun) {
            handle(request, ResponseHeadReceived{1, head(200)});
            handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
        }
        handle(request, brokenConnection(1, Verdict::MayHaveRun));
        CHECK(find<action::ChooseTarget>() == nullptr);
        CHECK((find<action::AbortResponse>() != nullptr) == hasBegun);
        CHECK(hasBegun || find<action::SendRefusal>()->refusal_.status_ == 502);
        LONGS_EQUAL(0, retries_);
    }
}

// Guards against the same behind an answer with neither a length nor chunks, in which a crash looks
// like an end.
TEST(ForwardStateMachine, aRequestThatMayHaveCrashedItsUpstream_undelimitedEnd_isNotSentAgain)
{
    for (const auto *bytes : {"", "id: 1\ndata: a\n\nid: 2\n"}) {
        auto request = makeUnprovenStream();
        handle(request, ResponseHeadReceived{1, head(200)});
        if (*bytes != '\0')
            handle(request, AttemptData{1, bytes});
        CHECK(request.isBrokenOff(endedNormally()));
        handle(request, endedNormally());
        CHECK(find<action::ChooseTarget>() == nullptr);
        LONGS_EQUAL(0, retries_);
    }
}

TEST(ForwardStateMachine, aStreamThatIsDelimitedOrEndsAtAnEvent_ended_isNotBrokenOff)
{
    auto request = makeUnprovenStream();
    handle(request, ResponseHeadReceived{1, head(200)});
    auto delimited = endedNormally();
    delimited.isDelimited_ = true;
    CHECK_FALSE(request.isBrokenOff(delimited));
    handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
    CHECK_FALSE(request.isBrokenOff(endedNormally()));
}

TEST(ForwardStateMachine, aRequestThatMayCrash_refusedOrLongBegun_isSentAgain)
{
    auto refused = makeUnprovenStream();
    auto refusal = head(503, false);
    refusal.notRun_ = true;
    handle(refused, ResponseHeadReceived{1, refusal});
    handle(refused, endedNormally());
    CHECK(find<action::ChooseTarget>() != nullptr);
    auto begun = makeUnprovenStream();
    handle(begun, ResponseHeadReceived{1, head(200)});
    handle(begun, AttemptData{1, "id: 1\ndata: a\n\n"});
    now_ += seconds(1);
    handle(begun, brokenConnection(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
}

// Guards against the text of an error in the middle of a stream, or an error that looks like the
// end of it (MIXED, ORDER): the upstream that is to continue a begun stream answers otherwise.
TEST(ForwardStateMachine, theNextUpstreamAnswersNoStream_ended_breaksTheStreamOff)
{
    auto notAStream = head(200);
    notAStream.headers_.add("Content-Type", "application/json");
    for (const auto &answer : {head(400), head(500), head(503, false), notAStream}) {
        auto request = makeStateMachine(RouteKind::ResumableStream, 2);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, ResponseHeadReceived{1, head(200)});
        handle(request, AttemptData{1, "id: 1\ndata: a\n\nid: 2"});
        handle(request, brokenConnection(1, Verdict::MayHaveRun));
        startAttempt(request, "u2");
        handle(request, ResponseHeadReceived{2, answer});
        handle(request, AttemptData{2, "data: an error\n\n"});
        CHECK(actions_.empty());
        handle(request, AttemptEnded{2, {}, Verdict::Ran, ""});
        CHECK(find<action::SendEvents>() == nullptr);
        CHECK(find<action::EndStream>() == nullptr);
        CHECK(find<action::AbortResponse>() != nullptr);
    }
}

// Guards against an error, with or without its head, that is taken for an event of the stream
// (MIXED): the upstream writes it into a stream without framing.
TEST(ForwardStateMachine, bytesThatAreNoEvent_withinAStream_endTheAttempt)
{
    for (const auto *bytes :
         {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
          "{\"error\": \"out of memory\"}\n\n", "no event\n\nid: 9\ndata: z\n\n"}) {
        auto request = makeStateMachine(RouteKind::ResumableStream, 2);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, ResponseHeadReceived{1, head(200)});
        handle(request, AttemptData{1, "id: 1\ndata: a\n\n"});
        handle(request, AttemptData{1, bytes});
        CHECK(find<action::SendEvents>() == nullptr);
        CHECK(find<action::CancelAttempt>() != nullptr);
        handle(request, brokenConnection(1, Verdict::MayHaveRun));
        CHECK(find<action::ChooseTarget>() != nullptr);
        startAttempt(request, "u2");
        LONGS_EQUAL(1, *find<action::StartAttempt>()->lastEventId_);
    }
}

TEST(ForwardStateMachine, aSuccessThatIsNoStream_onAStreamingRoute_isForwardedWhole)
{
    auto request = makeStateMachine(RouteKind::ResumableStream);
    handle(request, Start{});
    startAttempt(request, "u1");
    auto answer = head(200);
    answer.headers_.add("Content-Type", "application/json");
    handle(request, ResponseHeadReceived{1, answer});
    handle(request, AttemptData{1, "{\"whole\":"});
    handle(request, AttemptData{1, " true}"});
    CHECK(actions_.empty());
    handle(request, endedNormally());
    CHECK(find<action::SendResponse>()->body_ == "{\"whole\": true}");
}

// Guards against a sound attempt that is cancelled for the sake of one that is itself rejected
// (LOST).
TEST(ForwardStateMachine, theOtherUpstreamSendsAnEventAndForeignBytes_data_goesOnAtTheSilentOne)
{
    auto request = makeMovingStream();
    handle(request, ResponseHeadReceived{2, head(200)});
    handle(request, AttemptData{2, "id: 2\ndata: b\n\nno event\n\n"});
    LONGS_EQUAL(1, actions_.size());
    CHECK(find<action::CancelAttempt>()->attempt_ == 2);
    handle(request, brokenConnection(2, Verdict::MayHaveRun));
    CHECK(find<action::AbortResponse>() == nullptr);
    handle(request, AttemptData{1, "id: 2\ndata: b\n\n"});
    CHECK(find<action::SendEvents>() != nullptr);
}

// Guards against a whole answer that is dropped because another attempt is open and then fails.
TEST(ForwardStateMachine, theSilentUpstreamAnswersWhole_ended_isForwarded)
{
    for (const auto status : {200, 404}) {
        auto request = makeStateMachine(RouteKind::ResumableStream);
        handle(request, Start{});
        startAttempt(request, "u1");
        handle(request, TargetStalled{target("u2")});
        auto answer = head(static_cast<std::uint16_t>(status));
        answer.headers_.add("Content-Type", "application/json");
        handle(request, ResponseHeadReceived{1, answer});
        handle(request, AttemptData{1, "{}"});
        handle(request, endedNormally());
        if (status == 404) {
            CHECK(find<action::SendResponse>() == nullptr);
            handle(request, brokenConnection(2, Verdict::MayHaveRun));
        }
        STRCMP_EQUAL("{}", find<action::SendResponse>()->body_.c_str());
    }
}

// Guards against a stream that looks complete without its rest (ORDER), and a sound attempt that is
// cancelled for it: the other upstream closes before its first event.
TEST(ForwardStateMachine, theOtherUpstreamEndsWithoutAnEvent_ended_goesOnAtTheSilentOne)
{
    auto request = makeMovingStream();
    handle(request, ResponseHeadReceived{2, head(200)});
    handle(request, AttemptEnded{2, {}, Verdict::Ran, ""});
    CHECK(find<action::EndStream>() == nullptr);
    CHECK(find<action::CancelAttempt>() == nullptr);
    handle(request, AttemptData{1, "id: 2\ndata: b\n\n"});
    handle(request, endedNormally());
    CHECK(find<action::EndStream>() != nullptr);
}

// Guards against an empty success where a stream was broken off before its first event.
TEST(ForwardStateMachine, aStreamWithoutAnyEvent_ended_isNoAnswer)
{
    auto request = makeStateMachine(RouteKind::Stream);
    handle(request, Start{});
    startAttempt(request, "u1");
    handle(request, ResponseHeadReceived{1, head(200)});
    handle(request, endedNormally());
    CHECK(find<action::SendResponse>() == nullptr);
    UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
}

// Guards against a request that may crash upstreams and runs at two of them at once (BUDGET).
TEST(ForwardStateMachine, aRequestThatMayCrash_targetStalledBeforeItsFirstEvent_staysWhereItIs)
{
    auto request = makeUnprovenStream();
    CHECK_FALSE(request.mayMoveFrom(target("u1")));
    handle(request, TargetStalled{target("u2")});
    CHECK(find<action::StartAttempt>() == nullptr);
    CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Unused);
}

// Guards against attempts that were cancelled before they were connected and count as failed ones.
TEST(ForwardStateMachine, manyOtherAttemptsAreCancelledBeforeTheyConnect_ended_leaveRetries)
{
    auto request = makeMovingStream(9);
    for (auto number = 2U; number < 7; ++number) {
        handle(request, AttemptData{1, "id: " + std::to_string(number) + "\ndata: b\n\n"});
        handle(request,
               AttemptEnded{number, make_error_code(Error::Cancelled), Verdict::NotRun, ""});
        handle(request, TargetStalled{target("u2")});
        CHECK(find<action::StartAttempt>() != nullptr);
    }
}

TEST(ForwardStateMachine, theEntryStops_event_answersOrBreaksOff)
{
    auto waiting = makeStateMachine(RouteKind::Safe);
    handle(waiting, Start{});
    startAttempt(waiting, "u1");
    handle(waiting, EntryStops{});
    UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
    auto begun = makeMovingStream();
    handle(begun, EntryStops{});
    CHECK(find<action::AbortResponse>() != nullptr);
}
