#include "requests/RequestMachine.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(RequestMachine)
{
    MonotonicTime now_ = MonotonicTime(1h);
    RequestPlan plan_;
    bool retryAllowed_ = true;
    std::unique_ptr<RequestMachine> machine_;
    std::vector<RequestAction> actions_;

    auto setup()->void override
    {
        plan_.request_ = RequestId("r");
        plan_.digest_ = "digest";
        plan_.deadline_ = now_ + 10s;
    }

    auto start()->void
    {
        const auto hooks = RequestHooks{[this] { return retryAllowed_; }, [] { return 1U; }};
        machine_ = std::make_unique<RequestMachine>(plan_, hooks);
        feed(request_event::Start{});
    }

    auto claimed()->void
    {
        plan_.repeatable_ = false;
        plan_.key_ = IdempotencyKey("k");
        start();
        permit();
    }

    auto feed(const RequestEvent &event)->void
    {
        actions_ = machine_->handle(event, now_);
    }

    auto permit()->void
    {
        feed(request_event::PermitGranted{{"g", 1, "a"}, now_ + 1s});
    }

    template <typename Action>
    auto find() const->const Action *
    {
        for (const auto &action : actions_) {
            if (const auto *found = std::get_if<Action>(&action))
                return found;
        }
        return nullptr;
    }

    auto breakOff()->void
    {
        const auto id = find<request_action::StartAttempt>()->attempt_;
        feed(request_event::AttemptEnded{id, Error::ConnectionFailed, Verdict::MayHaveRun, "cut"});
    }

    auto error() const->const ProblemDocument &
    {
        CHECK(find<request_action::SendError>() != nullptr);
        return find<request_action::SendError>()->problem_;
    }

    auto claimIs(ClaimPhase phase, const char *digest = "digest")->void
    {
        auto claim = Claim{IdempotencyKey("k"), digest, EntryId("e"), 1, RequestId("x"), phase};
        if (phase == ClaimPhase::Completed)
            claim.answer_ = StoredAnswer{201, "text/plain", "stored"};
        feed(request_event::ClaimAnswered{{true, "", std::nullopt, claim, false}});
        CHECK(find<request_action::StartAttempt>() == nullptr);
    }
};

TEST(RequestMachine, aCrash_secondAttempt_waitsUntilEveryEntryKnows)
{
    start();
    permit();
    breakOff();
    CHECK(find<request_action::Probe>() != nullptr);
    feed(request_event::ProbeAnswered{false});
    CHECK(find<request_action::ReportSuspect>() != nullptr);
    CHECK(find<request_action::TakePermit>() == nullptr);
    feed(request_event::SuspicionShared{SuspicionRuling::Suspect});
    CHECK(find<request_action::TakePermit>()->alone_);
    CHECK(find<request_action::TakePermit>()->avoid_.contains("g"));
}

TEST(RequestMachine, aStreamThatLacksOnlyItsEndMark_brokenOff_isEndedWithoutAnotherRun)
{
    plan_.answer_ = AnswerKind::ChatStream;
    plan_.tokenLimit_ = 1;
    start();
    permit();
    const auto id = find<request_action::StartAttempt>()->attempt_;
    feed(request_event::AttemptHead{
        id, AnswerHead{200, "text/event-stream", RequestId("r"), id, std::nullopt}});
    feed(request_event::AttemptPart{
        id, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"index\":0}]}\n\n"});
    feed(request_event::AttemptEnded{id, Error::IncompleteAnswer, Verdict::MayHaveRun, "cut"});
    feed(request_event::ProbeAnswered{false});
    feed(request_event::SuspicionShared{SuspicionRuling::Clear});
    CHECK(find<request_action::TakePermit>() == nullptr);
    CHECK(find<request_action::SendEnd>() != nullptr);
    CHECK(machine_->finished());
}

TEST(RequestMachine, aNamedRequest_ruled_isRefused)
{
    start();
    permit();
    breakOff();
    feed(request_event::ProbeAnswered{false});
    feed(request_event::SuspicionShared{SuspicionRuling::Blocked});
    CHECK(error().code_ == Error::RequestBlocked);
    CHECK(machine_->finished());
    plan_.suspicion_ = SuspicionRuling::Blocked;
    start();
    CHECK(error().verdict_ == Verdict::NotRun);
}

TEST(RequestMachine, callsThatMayNotStart_start_areRefused)
{
    plan_.repeatable_ = false;
    start();
    CHECK_EQUAL(400, error().status_);
    CHECK(error().verdict_ == Verdict::NotRun);
    plan_.repeatable_ = true;
    const auto hooks = RequestHooks{[] { return true; }, [] { return 1U; }};
    machine_ = std::make_unique<RequestMachine>(plan_, hooks);
    feed(request_event::Draining{});
    feed(request_event::Start{});
    CHECK(error().code_ == Error::ShuttingDown);
}

TEST(RequestMachine, aKeyThatWasClaimedBefore_answered_isNotDispatched)
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
    for (const auto &one : cases) {
        claimed();
        claimIs(one.phase_, one.digest_);
        CHECK(error().code_ == one.error_);
        CHECK(error().verdict_ == one.verdict_);
        CHECK(find<request_action::ReturnPermit>()->use_ == PermitUse::Unused);
        CHECK(machine_->finished());
    }
    claimed();
    claimIs(ClaimPhase::Completed);
    CHECK(find<request_action::SendAnswer>()->replayed_);
    STRCMP_EQUAL("stored", find<request_action::SendAnswer>()->answer_.body_.c_str());
}

TEST(RequestMachine, aCallerWhoLeaves_attempt_isCancelledOnlyIfRepeatable)
{
    start();
    permit();
    feed(request_event::CallerGone{});
    CHECK(find<request_action::CancelAttempt>() != nullptr);
    claimed();
    feed(request_event::ClaimAnswered{{true, "", std::nullopt, Claim{}, true}});
    CHECK(find<request_action::StartAttempt>()->freshConnection_);
    feed(request_event::CallerGone{});
    CHECK(actions_.empty());
    CHECK(!machine_->finished());
}

TEST(RequestMachine, aSpentRetryBudget_failedAttempt_isTheLast)
{
    retryAllowed_ = false;
    start();
    permit();
    breakOff();
    feed(request_event::ProbeAnswered{true});
    CHECK_EQUAL(502, error().status_);
    CHECK(error().verdict_ == Verdict::MayHaveRun);
}
