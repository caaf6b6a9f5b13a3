#include "requests/RequestMachine.h"

#include "requests/RequestFingerprint.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(RequestMachine)
{
    MonotonicTime now_ = MonotonicTime(1h);
    RequestProperties properties_;
    bool retryAllowed_ = true;
    std::unique_ptr<RequestMachine> machine_;
    std::vector<RequestAction> actions_;

    auto setup()->void override
    {
        properties_.request_ = RequestId("r");
        properties_.digest_ = "digest";
        properties_.fingerprints_ = {"digest", partFingerprint("system")};
        properties_.deadline_ = now_ + 10s;
    }

    auto start()->void
    {
        const auto callbacks
            = RequestCallbacks{[this] { return retryAllowed_; }, [] { return 1U; }};
        machine_ = std::make_unique<RequestMachine>(properties_, callbacks);
        handleEvent(request_event::Start{});
    }

    auto startWithKeyAndPermit()->void
    {
        properties_.repeatable_ = false;
        properties_.idempotencyKey_ = IdempotencyKey("k");
        start();
        grantPermit();
    }

    auto handleEvent(const RequestEvent &event)->void
    {
        actions_ = machine_->handle(event, now_);
    }

    auto grantPermit()->void
    {
        handleEvent(request_event::PermitGranted{{"g", 1, "a"}, now_ + 1s});
    }

    template <typename Action>
    auto findAction() const->const Action *
    {
        for (const auto &action : actions_) {
            if (const auto *found = std::get_if<Action>(&action))
                return found;
        }
        return nullptr;
    }

    auto loseConnection()->void
    {
        const auto id = findAction<request_action::StartAttempt>()->attempt_;
        handleEvent(
            request_event::AttemptEnded{id, Error::ConnectionFailed, Verdict::MayHaveRun, "cut"});
    }

    auto sentProblem() const->const ProblemDocument &
    {
        CHECK(findAction<request_action::SendError>() != nullptr);
        return findAction<request_action::SendError>()->problem_;
    }

    auto answerWithEarlierClaim(ClaimPhase phase, const char *digest = "digest")->void
    {
        auto claim = Claim{IdempotencyKey("k"), digest, EntryId("e"), 1, RequestId("x"), phase};
        if (phase == ClaimPhase::Completed)
            claim.answer_ = StoredAnswer{201, "text/plain", "stored"};
        handleEvent(request_event::ClaimAnswered{{true, "", std::nullopt, claim, false}});
        CHECK(findAction<request_action::StartAttempt>() == nullptr);
    }
};

TEST(RequestMachine, aCrash_secondAttempt_waitsUntilTheCrashIsReported)
{
    start();
    grantPermit();
    loseConnection();
    CHECK(findAction<request_action::Probe>() != nullptr);
    handleEvent(request_event::ProbeFinished{false});
    CHECK(findAction<request_action::ReportCrash>() != nullptr);
    CHECK(findAction<request_action::TakePermit>() == nullptr);
    handleEvent(request_event::CrashReported{SuspicionStatus::Suspect});
    CHECK(findAction<request_action::TakePermit>()->withoutOtherSuspects_);
    CHECK(findAction<request_action::TakePermit>()->failedTargets_.contains("g"));
}

TEST(RequestMachine, aStreamThatLacksOnlyItsEndMark_interrupted_isCompletedWithoutAnotherRun)
{
    properties_.framing_ = ResponseFraming::ChatStream;
    properties_.maxTokens_ = 1;
    start();
    grantPermit();
    const auto id = findAction<request_action::StartAttempt>()->attempt_;
    handleEvent(request_event::ResponseHeadReceived{
        id, ResponseHead{200, "text/event-stream", RequestId("r"), id, std::nullopt}});
    handleEvent(request_event::ResponseDataReceived{
        id, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"index\":0}]}\n\n"});
    handleEvent(
        request_event::AttemptEnded{id, Error::IncompleteAnswer, Verdict::MayHaveRun, "cut"});
    handleEvent(request_event::ProbeFinished{false});
    handleEvent(request_event::CrashReported{SuspicionStatus::Clear});
    CHECK(findAction<request_action::TakePermit>() == nullptr);
    CHECK(findAction<request_action::EndStream>() != nullptr);
    CHECK(machine_->finished());
}

TEST(RequestMachine, aRequestThatCrashesUpstreams_blocked_isRefused)
{
    start();
    grantPermit();
    loseConnection();
    handleEvent(request_event::ProbeFinished{false});
    handleEvent(request_event::CrashReported{SuspicionStatus::Blocked});
    CHECK(sentProblem().code_ == Error::RequestBlocked);
    CHECK(machine_->finished());
    properties_.suspicion_ = SuspicionStatus::Blocked;
    start();
    CHECK(sentProblem().verdict_ == Verdict::NotRun);
}

// Guards against a request that waits for a permit and crashes one more upstream after its kind was
// found to crash them.
TEST(RequestMachine, aRequestBlockedWhileItWaits_permitGranted_isRefusedAndReturnsThePermit)
{
    start();
    handleEvent(request_event::PermitGranted{{"g", 1, "a"}, now_ + 1s, SuspicionStatus::Blocked});
    CHECK(findAction<request_action::StartAttempt>() == nullptr);
    CHECK(findAction<request_action::ReturnPermit>()->use_ == PermitUse::Unused);
    CHECK(sentProblem().code_ == Error::RequestBlocked);
    CHECK(sentProblem().verdict_ == Verdict::NotRun);
    CHECK(machine_->finished());
}

TEST(RequestMachine, anAnswer_complete_clearsAllFingerprintsOnlyIfItIsASuccess)
{
    for (const auto status : {std::uint16_t{200}, std::uint16_t{404}}) {
        start();
        grantPermit();
        const auto id = findAction<request_action::StartAttempt>()->attempt_;
        handleEvent(request_event::ResponseHeadReceived{
            id, ResponseHead{status, "text/plain", RequestId("r"), id, std::nullopt}});
        handleEvent(request_event::AttemptEnded{id});
        const auto cleared = findAction<request_action::ClearSuspect>()->fingerprints_;
        if (status == 200)
            CHECK(cleared == properties_.fingerprints_);
        else
            CHECK(cleared == std::vector<std::string>{"digest"});
    }
}

// Guards against sound parts that are suspected because a long stream broke off before any request
// with them had ended.
TEST(RequestMachine, aStreamThatGoesOnForLong_moreData_clearsThePartsOnce)
{
    properties_.framing_ = ResponseFraming::ChatStream;
    start();
    grantPermit();
    const auto id = findAction<request_action::StartAttempt>()->attempt_;
    handleEvent(request_event::ResponseHeadReceived{
        id, ResponseHead{200, "text/event-stream", RequestId("r"), id, std::nullopt}});
    auto clearedCount = 0;
    for (auto number = 1; number <= 4; ++number, now_ += 250ms) {
        handleEvent(request_event::ResponseDataReceived{
            id,
            "id: " + std::to_string(number)
                + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"index\":0}]}\n\n"});
        const auto *cleared = findAction<request_action::ClearSuspect>();
        if (cleared == nullptr)
            continue;
        CHECK_EQUAL(3, number);
        CHECK(cleared->fingerprints_ == std::vector{partFingerprint("system")});
        ++clearedCount;
    }
    CHECK_EQUAL(1, clearedCount);
}

TEST(RequestMachine, callsThatMayNotStart_start_areRefused)
{
    properties_.repeatable_ = false;
    start();
    CHECK_EQUAL(400, sentProblem().status_);
    CHECK(sentProblem().verdict_ == Verdict::NotRun);
    properties_.repeatable_ = true;
    const auto callbacks = RequestCallbacks{[] { return true; }, [] { return 1U; }};
    machine_ = std::make_unique<RequestMachine>(properties_, callbacks);
    handleEvent(request_event::ShutdownStarted{});
    handleEvent(request_event::Start{});
    CHECK(sentProblem().code_ == Error::ShuttingDown);
}

TEST(RequestMachine, aKeyWithAnEarlierClaim_answered_isNotDispatched)
{
    struct Case
    {
        ClaimPhase phase_;
        const char *digest_;
        Error error_;
        Verdict verdict_;
    };
    const auto cases = std::vector<Case>{
        {ClaimPhase::Claimed, "digest", Error::InProgress, Verdict::MayHaveRun},
        {ClaimPhase::Unknown, "digest", Error::OutcomeUnknown, Verdict::MayHaveRun},
        {ClaimPhase::Completed, "other", Error::KeyReused, Verdict::NotRun}};
    for (const auto &testCase : cases) {
        startWithKeyAndPermit();
        answerWithEarlierClaim(testCase.phase_, testCase.digest_);
        CHECK(sentProblem().code_ == testCase.error_);
        CHECK(sentProblem().verdict_ == testCase.verdict_);
        CHECK(findAction<request_action::ReturnPermit>()->use_ == PermitUse::Unused);
        CHECK(machine_->finished());
    }
    startWithKeyAndPermit();
    answerWithEarlierClaim(ClaimPhase::Completed);
    CHECK(findAction<request_action::SendResponse>()->replayed_);
    STRCMP_EQUAL("stored", findAction<request_action::SendResponse>()->answer_.body_.c_str());
}

TEST(RequestMachine, aDisconnectedCaller_attempt_isCancelledOnlyIfRepeatable)
{
    start();
    grantPermit();
    handleEvent(request_event::CallerDisconnected{});
    CHECK(findAction<request_action::CancelAttempt>() != nullptr);
    startWithKeyAndPermit();
    handleEvent(request_event::ClaimAnswered{{true, "", std::nullopt, Claim{}, true}});
    CHECK(findAction<request_action::StartAttempt>()->freshConnection_);
    handleEvent(request_event::CallerDisconnected{});
    CHECK(actions_.empty());
    CHECK(!machine_->finished());
}

TEST(RequestMachine, anExhaustedRetryBudget_failedAttempt_isTheLast)
{
    retryAllowed_ = false;
    start();
    grantPermit();
    loseConnection();
    handleEvent(request_event::ProbeFinished{true});
    CHECK_EQUAL(502, sentProblem().status_);
    CHECK(sentProblem().verdict_ == Verdict::MayHaveRun);
}

// Guards against a request that is ended because its sound upstream is silent for a while, although
// no other attempt may follow (LOST).
TEST(RequestMachine, noOtherAttemptMayFollow_upstreamSilent_goesOn)
{
    enum class Obstacle { NotRepeatable, AttemptLimit, RetryBudget };
    for (const auto obstacle :
         {Obstacle::NotRepeatable, Obstacle::AttemptLimit, Obstacle::RetryBudget}) {
        properties_.repeatable_ = obstacle != Obstacle::NotRepeatable;
        properties_.idempotencyKey_
            = obstacle == Obstacle::NotRepeatable ? IdempotencyKey("k") : IdempotencyKey();
        properties_.attemptLimit_ = obstacle == Obstacle::AttemptLimit ? 1 : 3;
        retryAllowed_ = obstacle != Obstacle::RetryBudget;
        start();
        grantPermit();
        if (obstacle == Obstacle::NotRepeatable)
            handleEvent(request_event::ClaimAnswered{{true, "", std::nullopt, std::nullopt, true}});
        const auto id = findAction<request_action::StartAttempt>()->attempt_;
        handleEvent(request_event::ResponseSilent{id});
        CHECK(actions_.empty());
        handleEvent(request_event::ResponseHeadReceived{
            id, ResponseHead{200, "text/plain", RequestId("r"), id, std::nullopt}});
        handleEvent(request_event::ResponseDataReceived{id, "answer"});
        handleEvent(request_event::AttemptEnded{id, {}, Verdict::Ran, ""});
        if (obstacle == Obstacle::NotRepeatable)
            handleEvent(request_event::ClaimSettled{});
        CHECK(findAction<request_action::SendResponse>() != nullptr);
    }
}

// Guards against a silent attempt that is ended with a retry that another request takes meanwhile.
TEST(RequestMachine, anotherAttemptMayFollow_upstreamSilent_isEndedWithItsRetryReserved)
{
    start();
    grantPermit();
    const auto id = findAction<request_action::StartAttempt>()->attempt_;
    handleEvent(request_event::ResponseSilent{id});
    CHECK(findAction<request_action::EndSilentAttempt>()->attempt_ == id);
    retryAllowed_ = false;
    handleEvent(
        request_event::AttemptEnded{id, Error::ConnectionSilent, Verdict::MayHaveRun, "silent"});
    CHECK(findAction<request_action::Probe>() != nullptr);
    handleEvent(request_event::ProbeFinished{true});
    CHECK(findAction<request_action::TakePermit>() != nullptr);
}
