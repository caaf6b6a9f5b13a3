#include "forward/ForwardMachine.h"

#include "base/ErrorCode.h"

#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::forward_event;
namespace action = lycheereach::forward_action;
using std::chrono::seconds;

TEST_GROUP(ForwardMachine)
{
    MonotonicTime now_{seconds(100)};
    int retries_ = 0;
    int retryLimit_ = 9;
    std::vector<ForwardAction> actions_;

    auto machine(RouteKind kind, std::uint32_t attemptLimit = 2)->ForwardMachine
    {
        const auto plan = ForwardPlan{.request_ = RequestId("r"),
                                      .kind_ = kind,
                                      .deadline_ = now_ + seconds(5),
                                      .attemptLimit_ = attemptLimit};
        return ForwardMachine(plan, [this] { return retries_++ < retryLimit_; });
    }

    auto feed(ForwardMachine & machine, const ForwardEvent &event)->void
    {
        actions_ = machine.handle(event, now_);
    }

    /// Starts an attempt at the upstream \a id.
    auto attempt(ForwardMachine & machine, const std::string &id)->void
    {
        feed(machine,
             TargetChosen{ForwardTarget{UpstreamId(id), 1, "127.0.0.1:1", PoolName("p"), {}}});
    }

    static auto head(std::uint16_t status, bool isSigned = true)->ForwardHead
    {
        return ForwardHead{
            .status_ = status, .headers_ = {}, .request_ = RequestId("r"), .isSigned_ = isSigned};
    }

    static auto ended()->AttemptEnded
    {
        return AttemptEnded{1, {}, Verdict::Ran, ""};
    }

    static auto broken(std::uint32_t number, Verdict verdict)->AttemptEnded
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

TEST(ForwardMachine, aWholeAnswer_ended_isHandedOnAsItCame)
{
    auto request = machine(RouteKind::Unsafe);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200)});
    feed(request, AttemptPart{1, "body"});
    CHECK(find<action::SendAnswer>() == nullptr);
    feed(request, ended());
    CHECK(find<action::SendAnswer>()->body_ == "body");
    CHECK(request.finished());
}

TEST(ForwardMachine, anUnsafeRequestThatMayHaveRun_broken_isNotSentAgain)
{
    auto request = machine(RouteKind::Unsafe, 3);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() == nullptr);
    UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::MayHaveRun);
}

TEST(ForwardMachine, anUnsafeRequestThatDidNotRun_refusedByTheUpstream_goesToAnother)
{
    auto request = machine(RouteKind::Unsafe);
    feed(request, Start{});
    attempt(request, "u1");
    auto refusal = head(503, false);
    refusal.notRun_ = true;
    feed(request, AttemptHead{1, refusal});
    feed(request, ended());
    CHECK(find<action::ChooseTarget>()->avoid_.contains(UpstreamId("u1")));
}

TEST(ForwardMachine, allAttemptsRefused_ended_saysNotRunAndWhenToComeBack)
{
    auto request = machine(RouteKind::Unsafe, 1);
    feed(request, Start{});
    attempt(request, "u1");
    auto refusal = head(503, false);
    refusal.notRun_ = true;
    feed(request, AttemptHead{1, refusal});
    feed(request, ended());
    UNSIGNED_LONGS_EQUAL(503, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::NotRun);
    CHECK(find<action::SendRefusal>()->refusal_.retryAfter_.has_value());
}

TEST(ForwardMachine, aSafeRequestThatFailed_ended_isSentAgainWithinTheBudget)
{
    auto request = machine(RouteKind::Safe);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(500)});
    feed(request, ended());
    CHECK(find<action::ChooseTarget>() != nullptr);
}

TEST(ForwardMachine, aSafeRequestThatFailedWithoutBudget_ended_handsOnTheUpstreamsAnswer)
{
    retryLimit_ = 0;
    auto request = machine(RouteKind::Safe);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(500)});
    feed(request, AttemptPart{1, "why"});
    feed(request, ended());
    UNSIGNED_LONGS_EQUAL(500, find<action::SendAnswer>()->head_.status_);
    CHECK(find<action::SendAnswer>()->body_ == "why");
}

TEST(ForwardMachine, anAnswerOfAnotherRequest_head_isNeverHandedOn)
{
    auto request = machine(RouteKind::Safe);
    feed(request, Start{});
    attempt(request, "u1");
    auto wrong = head(200);
    wrong.request_ = RequestId("other");
    feed(request, AttemptHead{1, wrong});
    CHECK(find<action::CancelAttempt>() != nullptr);
    feed(request, AttemptPart{1, "not yours"});
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::SendAnswer>() == nullptr);
    CHECK(find<action::ChooseTarget>() != nullptr);
}

TEST(ForwardMachine, aSuccessWithoutSignature_head_isNeverHandedOn)
{
    auto request = machine(RouteKind::Unsafe);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200, false)});
    CHECK(find<action::CancelAttempt>() != nullptr);
    feed(request, broken(1, Verdict::MayHaveRun));
    UNSIGNED_LONGS_EQUAL(502, find<action::SendRefusal>()->refusal_.status_);
}

TEST(ForwardMachine, aBrokenResumableStream_ended_goesOnBehindTheLastWholeEvent)
{
    auto request = machine(RouteKind::ResumableStream);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200)});
    feed(request, AttemptPart{1, "id: 1\ndata: a\n\nid: 2\nda"});
    CHECK(find<action::SendHead>()->events_ == "id: 1\ndata: a\n\n");
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
    attempt(request, "u2");
    CHECK(find<action::StartAttempt>()->lastEventId_ == 1);
    feed(request, AttemptHead{2, head(200)});
    feed(request, AttemptPart{2, "id: 2\ndata: b\n\n"});
    CHECK(find<action::SendPart>()->events_ == "id: 2\ndata: b\n\n");
    feed(request, AttemptEnded{2, {}, Verdict::Ran, ""});
    CHECK(find<action::SendEnd>() != nullptr);
}

TEST(ForwardMachine, aBrokenStreamThatMayNotBeResumed_ended_isBrokenOffForTheCaller)
{
    auto request = machine(RouteKind::Stream);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200)});
    feed(request, AttemptPart{1, "id: 1\ndata: a\n\n"});
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::BreakOff>() != nullptr);
    CHECK(find<action::SendEnd>() == nullptr);
}

TEST(ForwardMachine, aStreamThatEndsWithinAnEvent_ended_doesNotLookComplete)
{
    auto request = machine(RouteKind::ResumableStream, 1);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200)});
    feed(request, AttemptPart{1, "id: 1\ndata: a\n\nid: 2"});
    feed(request, ended());
    CHECK(find<action::SendEnd>() == nullptr);
    CHECK(find<action::BreakOff>() != nullptr);
}

/// Pattern: a server in trouble sends bytes that are no answer until the caller closes.
TEST(ForwardMachine, anEventWithoutEnd_part_endsTheAttempt)
{
    auto request = machine(RouteKind::ResumableStream);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200)});
    constexpr auto length = std::size_t{2} * 1024 * 1024;
    feed(request, AttemptPart{1, "id: 1\ndata: " + std::string(length, 'x')});
    CHECK(find<action::CancelAttempt>() != nullptr);
    CHECK(find<action::SendHead>() == nullptr);
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
}

TEST(ForwardMachine, theCallerOfARepeatableRequestIsGone_event_cancelsTheAttempt)
{
    auto request = machine(RouteKind::Safe);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, CallerGone{});
    CHECK(find<action::CancelAttempt>() != nullptr);
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() == nullptr);
    CHECK(request.finished());
}

TEST(ForwardMachine, theDeadlinePassesBeforeAnyAttempt_event_saysNotRun)
{
    auto request = machine(RouteKind::Unsafe);
    feed(request, Start{});
    feed(request, DeadlinePassed{});
    UNSIGNED_LONGS_EQUAL(503, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::NotRun);
}

TEST(ForwardMachine, theDeadlinePassesDuringAnAttempt_event_promisesNothing)
{
    auto request = machine(RouteKind::Unsafe);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, DeadlinePassed{});
    UNSIGNED_LONGS_EQUAL(504, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::MayHaveRun);
}

TEST(ForwardMachine, noUpstream_answered_saysNotRunAndWhenToComeBack)
{
    auto request = machine(RouteKind::Safe);
    feed(request, Start{});
    feed(request,
         NoTarget{Failure{.code_ = make_error_code(Error::Overloaded),
                          .message_ = "none",
                          .retryAfter_ = seconds(2)}});
    UNSIGNED_LONGS_EQUAL(503, find<action::SendRefusal>()->refusal_.status_);
    CHECK(find<action::SendRefusal>()->refusal_.retryAfter_ == seconds(2));
}

/// Pattern: the instances of a zone are down, and the others have room.
TEST(ForwardMachine, nothingListensAtTwoUpstreams_ended_triesAThirdWithoutARetry)
{
    auto request = machine(RouteKind::Unsafe, 1);
    feed(request, Start{});
    for (auto number = std::uint32_t{1}; number <= 2; ++number) {
        attempt(request, "u" + std::to_string(number));
        feed(request,
             AttemptEnded{number, make_error_code(Error::ConnectionFailed), Verdict::NotRun,
                          "refused", true});
        CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Gone);
        CHECK(find<action::ChooseTarget>() != nullptr);
    }
    LONGS_EQUAL(0, retries_);
    attempt(request, "u3");
    feed(request, AttemptHead{3, head(200)});
    feed(request, AttemptEnded{3, {}, Verdict::Ran, ""});
    CHECK(find<action::SendAnswer>() != nullptr);
}

TEST(ForwardMachine, noUpstreamCanBeConnected_ended_isRefusedAsNotRunAfterFourTries)
{
    auto request = machine(RouteKind::Unsafe, 1);
    feed(request, Start{});
    for (auto number = std::uint32_t{1}; number <= 4; ++number) {
        attempt(request, "u" + std::to_string(number));
        feed(request,
             AttemptEnded{number, make_error_code(Error::ConnectionFailed), Verdict::NotRun,
                          "refused", true});
    }
    CHECK(find<action::SendRefusal>()->verdict_ == Verdict::NotRun);
}

TEST(ForwardMachine, anotherInstanceAnswers_ended_showsThatTheTargetIsGone)
{
    auto request = machine(RouteKind::Safe);
    feed(request, Start{});
    attempt(request, "u1");
    auto misdirected = head(421, false);
    misdirected.notRun_ = true;
    misdirected.isOtherInstance_ = true;
    feed(request, AttemptHead{1, misdirected});
    feed(request, ended());
    CHECK(find<action::ReleaseTarget>()->outcome_ == TargetOutcome::Gone);
}

// Guards against streams of slow groups that this entry cuts itself: without a further attempt a
// stream that moves again a little later would be lost.
TEST(ForwardMachine, theLastAttemptAllowed_targetStalled_isLeftAlone)
{
    auto request = machine(RouteKind::ResumableStream, 2);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, TargetStalled{});
    CHECK(find<action::CancelAttempt>() != nullptr);
    feed(request, broken(1, Verdict::MayHaveRun));
    CHECK(find<action::ChooseTarget>() != nullptr);
    attempt(request, "u2");
    feed(request, TargetStalled{});
    CHECK(actions_.empty());
    LONGS_EQUAL(1, retries_);
}

// Guards against streams that are cut and then find the budget of retries spent.
TEST(ForwardMachine, theBudgetIsSpent_targetStalled_leavesTheAttemptAlone)
{
    retryLimit_ = 0;
    auto request = machine(RouteKind::ResumableStream);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, TargetStalled{});
    CHECK(actions_.empty());
}

TEST(ForwardMachine, aRequestThatIsNoResumableStream_targetStalled_isLeftAlone)
{
    for (const auto kind : {RouteKind::Unsafe, RouteKind::Safe, RouteKind::Stream}) {
        auto request = machine(kind);
        feed(request, Start{});
        attempt(request, "u1");
        feed(request, TargetStalled{});
        CHECK(actions_.empty());
    }
}

// Guards against a stream with missing events that looks complete (ORDER): its last events come
// while it is about to be moved.
TEST(ForwardMachine, theStreamEndsWhileItIsMoved_ended_isHandedOnWhole)
{
    auto request = machine(RouteKind::ResumableStream);
    feed(request, Start{});
    attempt(request, "u1");
    feed(request, AttemptHead{1, head(200)});
    feed(request, AttemptPart{1, "id: 1\ndata: a\n\n"});
    feed(request, TargetStalled{});
    CHECK(find<action::CancelAttempt>() != nullptr);
    feed(request, AttemptPart{1, "id: 2\ndata: b\n\n"});
    STRCMP_EQUAL("id: 2\ndata: b\n\n", find<action::SendPart>()->events_.c_str());
    feed(request, ended());
    CHECK(find<action::SendEnd>() != nullptr);
}
