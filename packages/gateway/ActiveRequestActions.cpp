#include "gateway/ActiveRequest.h"

#include "control/ControlService.h"
#include "gateway/ClaimSettler.h"
#include "gateway/Metrics.h"
#include "gateway/SuspicionService.h"
#include "serving/PermitBroker.h"
#include "transport/WorkerPool.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr auto cancelTimeout = std::chrono::seconds(1);
constexpr auto probeTimeout = std::chrono::milliseconds(800);

auto permitOutcome(PermitUse use) -> PermitOutcome
{
    switch (use) {
    case PermitUse::Unused:
        return PermitOutcome::NotStarted;
    case PermitUse::Refused:
        return PermitOutcome::Overloaded;
    case PermitUse::Completed:
        return PermitOutcome::Completed;
    case PermitUse::Failed:
        return PermitOutcome::Failed;
    case PermitUse::Abandoned:
        return PermitOutcome::Unknown;
    }
    return PermitOutcome::Unknown;
}

auto readResponseHead(const HttpResponse &response) -> ResponseHead
{
    const auto &headers = response.headers_;
    return ResponseHead{.status_ = response.status_,
                        .contentType_ = headers.value("Content-Type"),
                        .request_ = RequestId(headers.value("X-Request-Id")),
                        .attempt_ = AttemptId(headers.value("X-Attempt-Id")),
                        .verdict_ = parseVerdict(headers.value("X-Verdict"))};
}

auto isEventStream(const HttpResponse &response) -> bool
{
    constexpr std::uint16_t firstErrorStatus = 400;
    return response.status_ < firstErrorStatus
        && response.headers_.value("Content-Type").starts_with("text/event-stream");
}

auto wallTimeMs(const WallClock &clock) -> std::int64_t
{
    const auto sinceEpoch = clock().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

auto ActiveRequest::perform(const request_action::TakePermit &action) -> void
{
    auto permitRequest = PermitRequest{};
    permitRequest.queueItem_ = QueueItem{request_.id_, request_.workspace_, request_.weight_,
                                         request_.priority_, request_.deadline_};
    permitRequest.choiceRequest_.pool_ = request_.pool_;
    permitRequest.choiceRequest_.prefix_ = request_.prefix_;
    permitRequest.choiceRequest_.priority_ = request_.priority_;
    for (const auto &name : action.failedTargets_)
        permitRequest.choiceRequest_.excludedGroups_.emplace(name);
    if (action.withoutOtherSuspects_)
        permitRequest.suspectFingerprint_
            = context_.suspicion_.findSuspect(request_.fingerprints_).value_or(request_.digest_);
    const auto onPermitAnswered = [self
                                   = shared_from_this()](const Result<BrokeredPermit> &result) {
        if (!result) {
            self->post(request_event::PermitRefused{result.failure()});
            return;
        }
        const auto &choice = result->choice_;
        self->permit_ = *result;
        self->post(request_event::PermitGranted{
            RequestTarget{choice.group_.text(), choice.epoch_, choice.address_},
            result->validUntil_, self->context_.suspicion_.ruling(self->request_.fingerprints_)});
    };
    context_.broker_.request(std::move(permitRequest), onPermitAnswered);
}

auto ActiveRequest::perform(const request_action::CancelPermitRequest &) -> void
{
    context_.broker_.cancel(request_.id_);
}

auto ActiveRequest::perform(const request_action::CommitClaim &) -> void
{
    const auto claim = ClaimRequest{.key_ = request_.claimKey_,
                                    .digest_ = request_.digest_,
                                    .holder_ = context_.self_,
                                    .holderIncarnation_ = context_.incarnation_(),
                                    .request_ = request_.id_,
                                    .atMs_ = wallTimeMs(context_.wallNow_)};
    context_.control_.propose(claim,
                              [self = shared_from_this()](const Result<CommandOutcome> &result) {
                                  if (result)
                                      self->post(request_event::ClaimAnswered{*result});
                                  else
                                      self->post(request_event::ClaimFailed{result.failure()});
                              });
}

auto ActiveRequest::perform(const request_action::SettleClaim &action) -> void
{
    context_.settler_.settle(action.command_, [self = shared_from_this()] {
        self->post(request_event::ClaimSettled{});
    });
}

auto ActiveRequest::makeCall(const request_action::StartAttempt &action) const -> HttpCall
{
    auto call
        = HttpCall{.address_ = action.target_.address_,
                   .connectTimeout_ = std::chrono::milliseconds(policy_.connectTimeoutMs_),
                   .firstByteTimeout_ = std::chrono::milliseconds(policy_.firstByteTimeoutMs_),
                   .idleTimeout_ = std::chrono::milliseconds(policy_.streamIdleTimeoutMs_),
                   .freshConnection_ = action.freshConnection_,
                   .mayStart_ = [now = context_.now_, validUntil = action.validUntil_] {
                       return now() < validUntil;
                   }};
    auto &request = call.request_;
    request.method_ = request_.method_;
    request.target_ = request_.target_;
    request.body_ = request_.body_;
    if (request_.chat_ && !action.deliveredText_.empty())
        request.body_
            = continuationBody(*request_.chat_, action.deliveredText_, action.deliveredTokens_);
    auto &headers = request.headers_;
    if (!request_.contentType_.empty())
        headers.add("Content-Type", request_.contentType_);
    headers.add("X-Request-Id", request_.id_.text());
    headers.add("X-Attempt-Id", action.attempt_.text());
    headers.add("X-Group", action.target_.name_);
    headers.add("X-Group-Epoch", std::to_string(action.target_.epoch_));
    headers.add("X-Priority", std::to_string(request_.priority_));
    headers.add("X-Workspace", request_.workspace_.text());
    if (!request_.idempotencyKeyHeader_.empty())
        headers.add("Idempotency-Key", request_.idempotencyKeyHeader_);
    if (!action.resumeAttempt_.empty()) {
        headers.add("X-Resume-Attempt", action.resumeAttempt_.text());
        headers.add("X-Resume-Offset", std::to_string(action.resumeOffset_));
    }
    return call;
}

auto ActiveRequest::makeCallHooks(const AttemptId &attempt) -> HttpCallHooks
{
    const auto self = shared_from_this();
    const auto isStream = std::make_shared<bool>(false);
    return HttpCallHooks{
        .head_ =
            [self, attempt, isStream](const HttpResponse &response) {
                *isStream = isEventStream(response);
                self->timeToFirstByteNs_
                    = (self->context_.now_() - self->attemptStartedAt_).count();
                self->post(
                    request_event::ResponseHeadReceived{attempt, readResponseHead(response)});
            },
        .part_ =
            [self, attempt](std::string_view bytes) {
                self->post(request_event::ResponseDataReceived{attempt, std::string(bytes)});
            },
        .ended_ =
            [self, attempt, isStopConfirmed = isStopConfirmed_](const HttpOutcome &outcome) {
                self->attemptEnded(attempt, outcome, *isStopConfirmed);
            },
        .silent_ = [self, attempt] { self->post(request_event::ResponseSilent{attempt}); },
        .answersThisCall_ =
            [self, attempt](const HttpResponse &response) {
                const auto head = readResponseHead(response);
                return head.request_ == self->request_.id_ && head.attempt_ == attempt;
            },
        // Complete events of a stream go on to the caller.
        .heldBytes_
        = [isStream](std::size_t bodyBytes) { return *isStream ? std::size_t{0} : bodyBytes; }};
}

auto ActiveRequest::perform(const request_action::StartAttempt &action) -> void
{
    recordEvent(EventNumber::AttemptStarted,
                {{"attempt", action.attempt_.text()}, {"group", action.target_.name_}});
    targetName_ = action.target_.name_;
    if (!authorizeStart(action.attempt_)) {
        post(request_event::AttemptEnded{.attempt_ = action.attempt_,
                                         .error_ = Error::LeaseExpired,
                                         .verdict_ = Verdict::NotRun,
                                         .message_ = "the right to start ran out"});
        return;
    }
    attemptStartedAt_ = context_.now_();
    timeToFirstByteNs_ = 0;
    isStopConfirmed_ = std::make_shared<std::atomic<bool>>(false);
    context_.metrics_.attemptStarted();
    attemptCall_ = context_.client_.start(makeCall(action), makeCallHooks(action.attempt_));
}

auto ActiveRequest::authorizeStart(const AttemptId &attempt) -> bool
{
    if (!machine_.mayDispatch(attempt, context_.now_()) || !context_.control_.mayTakeWork())
        return false;
    return permit_ && context_.broker_.tryStart(*permit_);
}

auto ActiveRequest::attemptEnded(const AttemptId &attempt, const HttpOutcome &outcome,
                                 bool isStopConfirmed) -> void
{
    if (outcome.error_ == Error::ConnectionSilent)
        recordEvent(EventNumber::ConnectionSilent, {{"attempt", attempt.text()}});
    recordEvent(
        EventNumber::AttemptEnded,
        {{"attempt", attempt.text()},
         {"verdict", std::string(toString(outcome.verdict_))},
         {"reason", outcome.error_ ? outcome.error_.message() : std::string("whole answer")}});
    if (outcome.error_ == Error::ConnectionFailed)
        context_.broker_.ejectGroup(GroupId(targetName_));
    post(request_event::AttemptEnded{.attempt_ = attempt,
                                     .error_ = outcome.error_,
                                     .verdict_ = outcome.verdict_,
                                     .message_ = outcome.message_,
                                     .stopped_ = isStopConfirmed});
}

auto ActiveRequest::perform(const request_action::CancelAttempt &action) -> void
{
    const auto call = attemptCall_;
    if (!call)
        return;
    if (!request_.chat_) {
        context_.client_.cancel(*call);
        return;
    }
    auto cancel = HttpCall{.address_ = action.target_.address_,
                           .connectTimeout_ = cancelTimeout,
                           .firstByteTimeout_ = cancelTimeout,
                           .totalTimeout_ = 2 * cancelTimeout,
                           .freshConnection_ = true};
    cancel.request_ = HttpRequest{"POST",
                                  "/v1/cancel",
                                  {{"Content-Type", "application/json"}},
                                  Json{{"attempt", action.attempt_.text()}}.dump()};
    auto status = std::make_shared<std::atomic<int>>(0);
    const auto onCancelEnded = [self = shared_from_this(), call = *call, status,
                                isStopConfirmed = isStopConfirmed_](const HttpOutcome &outcome) {
        static constexpr auto accepted = 200;
        *isStopConfirmed = !outcome.error_ && *status == accepted;
        self->context_.client_.cancel(call);
    };
    const auto recordStatus
        = [status](const HttpResponse &response) { *status = response.status_; };
    context_.client_.start(std::move(cancel), HttpCallHooks{recordStatus, nullptr, onCancelEnded});
}

auto ActiveRequest::perform(const request_action::EndSilentAttempt & /*action*/) -> void
{
    if (attemptCall_)
        context_.client_.cancel(*attemptCall_, Error::ConnectionSilent);
}

auto ActiveRequest::perform(const request_action::ReturnPermit &action) -> void
{
    if (!permit_)
        return;
    const auto runTime = context_.now_() - attemptStartedAt_;
    context_.broker_.endPermit(*permit_, permitOutcome(action.use_),
                               Duration(timeToFirstByteNs_.load()), runTime);
    permit_.reset();
}

auto ActiveRequest::perform(const request_action::Probe &action) -> void
{
    auto probe = HttpCall{.address_ = action.target_.address_,
                          .connectTimeout_ = probeTimeout,
                          .firstByteTimeout_ = probeTimeout,
                          .totalTimeout_ = 2 * probeTimeout,
                          .freshConnection_ = true};
    probe.request_ = HttpRequest{"GET", "/healthz", {}, {}};
    const auto onProbeEnded = [self = shared_from_this()](const HttpOutcome &outcome) {
        self->post(request_event::ProbeFinished{!outcome.error_});
    };
    context_.client_.start(std::move(probe), HttpCallHooks{nullptr, nullptr, onProbeEnded});
}

auto ActiveRequest::perform(const request_action::ReportCrash &action) -> void
{
    context_.broker_.ejectGroup(GroupId(action.target_.name_));
    context_.suspicion_.reportCrash(action.target_.name_, action.target_.epoch_,
                                    action.fingerprints_,
                                    [self = shared_from_this()](SuspicionStatus suspicion) {
                                        self->post(request_event::CrashReported{suspicion});
                                    });
}

auto ActiveRequest::perform(const request_action::ClearSuspect &action) -> void
{
    context_.suspicion_.requestServed(action.fingerprints_);
}

} // namespace lycheereach
