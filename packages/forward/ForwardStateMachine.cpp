#include "forward/ForwardStateMachine.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr std::uint16_t firstNonSuccessStatus = 300;
constexpr std::uint16_t firstServerErrorStatus = 500;
constexpr std::uint16_t badGateway = 502;
constexpr std::uint16_t serviceUnavailable = 503;
constexpr std::uint16_t gatewayTimeout = 504;

/// A request is refused when more of its attempts than this fail to connect.
constexpr std::uint32_t maxUnconnectedAttempts = 3;
/// Retry-After of a request that no upstream ran.
constexpr auto notRunRetryAfter = std::chrono::milliseconds(1500);

auto isStream(RouteKind kind) -> bool
{
    return kind == RouteKind::Stream || kind == RouteKind::ResumableStream;
}

} // namespace

ForwardStateMachine::ForwardStateMachine(ForwardPlan plan, std::function<bool()> tryTakeRetry)
    : plan_(std::move(plan))
    , tryTakeRetry_(std::move(tryTakeRetry))
    , reader_(plan_.lastEventId_)
{ }

auto ForwardStateMachine::handle(const ForwardEvent &event, MonotonicTime now)
    -> std::vector<ForwardAction>
{
    now_ = now;
    std::visit([this](const auto &body) { on(body); }, event);
    return std::exchange(actions_, {});
}

auto ForwardStateMachine::on(const forward_event::Start &) -> void
{
    emit(forward_action::ChooseTarget{});
}

auto ForwardStateMachine::on(const forward_event::TargetChosen &event) -> void
{
    if (replied_) {
        emit(forward_action::ReleaseTarget{event.target_, "", Verdict::NotRun,
                                           TargetOutcome::Responded});
        return;
    }
    target_ = event.target_;
    isAttemptOpen_ = true;
    isAttemptCancelled_ = false;
    head_.reset();
    body_.clear();
    rejectReason_.clear();
    reader_.beginAttempt();
    emit(forward_action::StartAttempt{++attempts_, target_, reader_.lastEventId()});
}

auto ForwardStateMachine::on(const forward_event::NoTargetAvailable &event) -> void
{
    if (replied_)
        return;
    if (headSent_) {
        replied_ = true;
        emit(forward_action::AbortResponse{event.failure_.message_});
        return;
    }
    const auto status = verdict_ == Verdict::NotRun ? serviceUnavailable : badGateway;
    refuse(status, event.failure_.message_, event.failure_.retryAfter_);
}

auto ForwardStateMachine::attemptsSent() const -> std::uint32_t
{
    return attempts_ - unconnectedAttempts_;
}

auto ForwardStateMachine::isStreaming() const -> bool
{
    return isStream(plan_.kind_) && head_ && head_->status_ < firstNonSuccessStatus;
}

auto ForwardStateMachine::isCurrent(std::uint32_t attempt) const -> bool
{
    return isAttemptOpen_ && attempt == attempts_;
}

auto ForwardStateMachine::rejectResponse(std::string rejectReason) -> void
{
    rejectReason_ = std::move(rejectReason);
    cancelAttempt();
}

auto ForwardStateMachine::cancelAttempt() -> void
{
    if (isAttemptOpen_ && !std::exchange(isAttemptCancelled_, true))
        emit(forward_action::CancelAttempt{attempts_});
}

auto ForwardStateMachine::on(const forward_event::ResponseHeadReceived &event) -> void
{
    if (!isCurrent(event.attempt_) || isAttemptCancelled_)
        return;
    const auto &head = event.head_;
    head_ = head;
    if (head.notRun_)
        return;
    if (head.echoedRequestId_ != plan_.requestId_)
        rejectResponse("the answer carries the id of request '" + head.echoedRequestId_.text()
                       + "'");
    else if (head.status_ < firstNonSuccessStatus && !head.hasSignature_)
        rejectResponse("the answer bears no signature");
}

auto ForwardStateMachine::on(const forward_event::AttemptData &event) -> void
{
    if (!isCurrent(event.attempt_) || isAttemptCancelled_ || !head_)
        return;
    if (!isStreaming()) {
        body_ += event.bytes_;
        return;
    }
    auto events = reader_.feed(event.bytes_);
    if (reader_.hasOverflowed())
        rejectResponse("an event of the stream does not end");
    if (events.empty() || replied_)
        return;
    if (std::exchange(headSent_, true))
        emit(forward_action::SendEvents{std::move(events)});
    else
        emit(forward_action::BeginStream{*head_, std::move(events)});
}

auto ForwardStateMachine::on(const forward_event::AttemptEnded &event) -> void
{
    if (!isCurrent(event.attempt_))
        return;
    isAttemptOpen_ = false;
    const auto failure = failureOf(event);
    if (failure.empty()) {
        attemptSucceeded();
        return;
    }
    const auto isOtherInstance = head_ && head_->isOtherInstance_;
    targetOutcome_
        = event.isRefused_ || isOtherInstance ? TargetOutcome::Unavailable : TargetOutcome::Failed;
    // An attempt without a connection has not reached an upstream.
    if (event.verdict_ == Verdict::NotRun && !head_)
        ++unconnectedAttempts_;
    const auto notRun = event.verdict_ == Verdict::NotRun || (head_ && head_->notRun_);
    attemptFailed(failure, notRun ? Verdict::NotRun : Verdict::MayHaveRun);
}

auto ForwardStateMachine::failureOf(const forward_event::AttemptEnded &event) const -> std::string
{
    if (!rejectReason_.empty())
        return rejectReason_;
    if (head_ && head_->notRun_)
        return "the upstream refused with status " + std::to_string(head_->status_);
    if (event.error_)
        return event.message_.empty() ? event.error_.message() : event.message_;
    if (!head_)
        return "the upstream gave no answer";
    if (isStreaming() && !reader_.isAtEventBoundary())
        return "the upstream ended the stream within an event";
    if (headSent_ && !isStreaming())
        return "the upstream did not go on with the stream: status "
            + std::to_string(head_->status_);
    const auto hasServerError = head_->status_ >= firstServerErrorStatus;
    if (hasServerError && isRetrySafe(Verdict::MayHaveRun) && attemptsSent() < plan_.attemptLimit_)
        return "the upstream answered with status " + std::to_string(head_->status_);
    return {};
}

auto ForwardStateMachine::attemptSucceeded() -> void
{
    emit(forward_action::ReleaseTarget{target_, "", Verdict::Ran, TargetOutcome::Responded});
    if (std::exchange(replied_, true))
        return;
    if (headSent_)
        emit(forward_action::EndStream{});
    else
        emit(forward_action::SendResponse{*head_, std::move(body_)});
}

auto ForwardStateMachine::attemptFailed(const std::string &failure, Verdict verdict) -> void
{
    emit(forward_action::ReleaseTarget{target_, failure, verdict, targetOutcome_});
    verdict_ = combine(verdict_, verdict);
    avoid_.insert(target_.upstream_);
    if (replied_)
        return;
    // A further attempt takes from the retry budget only once an earlier one may have reached an
    // upstream.
    if (mayRetry(verdict)
        && (attemptsSent() == 0 || std::exchange(hasReservedRetry_, false) || tryTakeRetry_())) {
        emit(forward_action::ChooseTarget{avoid_});
        return;
    }
    if (headSent_) {
        replied_ = true;
        emit(forward_action::AbortResponse{failure});
        return;
    }
    const auto hasErrorResponse = head_ && rejectReason_.empty() && !head_->notRun_
        && head_->status_ >= firstServerErrorStatus;
    if (hasErrorResponse) {
        replied_ = true;
        emit(forward_action::SendResponse{*head_, std::move(body_)});
        return;
    }
    const auto status = verdict_ == Verdict::NotRun ? serviceUnavailable : badGateway;
    refuse(status, failure,
           status == serviceUnavailable ? std::optional<Duration>(notRunRetryAfter) : std::nullopt);
}

auto ForwardStateMachine::mayRetry(Verdict verdict) const -> bool
{
    const auto isExhausted
        = attemptsSent() >= plan_.attemptLimit_ || unconnectedAttempts_ > maxUnconnectedAttempts;
    return !isExhausted && now_ < plan_.deadline_ && isRetrySafe(verdict);
}

auto ForwardStateMachine::isRetrySafe(Verdict verdict) const -> bool
{
    if (plan_.kind_ == RouteKind::ResumableStream)
        return !headSent_ || !reader_.hasEventWithoutId();
    return plan_.kind_ == RouteKind::Safe || verdict == Verdict::NotRun;
}

auto ForwardStateMachine::refuse(std::uint16_t status, std::string reason,
                                 std::optional<Duration> retryAfter) -> void
{
    replied_ = true;
    emit(forward_action::SendRefusal{{status, std::move(reason), retryAfter}, verdict_});
}

auto ForwardStateMachine::on(const forward_event::TargetStalled &) -> void
{
    const auto canMove = plan_.kind_ == RouteKind::ResumableStream && isAttemptOpen_
        && !isAttemptCancelled_ && !replied_ && !hasReservedRetry_;
    // Cancelling without another attempt would certainly lose the stream, which may only be slow.
    if (!canMove || !mayRetry(Verdict::MayHaveRun) || !tryTakeRetry_())
        return;
    hasReservedRetry_ = true;
    // Data that still arrives is accepted: the response may be complete before the cancellation.
    emit(forward_action::CancelAttempt{attempts_});
}

auto ForwardStateMachine::on(const forward_event::CallerDisconnected &) -> void
{
    replied_ = true;
    if (plan_.kind_ != RouteKind::Unsafe)
        cancelAttempt();
}

auto ForwardStateMachine::on(const forward_event::DeadlinePassed &) -> void
{
    if (replied_)
        return;
    const auto mayHaveRun = isAttemptOpen_ || verdict_ != Verdict::NotRun;
    const auto reason = std::string("the time for the request has passed");
    if (headSent_) {
        replied_ = true;
        emit(forward_action::AbortResponse{reason});
    } else {
        verdict_ = mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
        refuse(mayHaveRun ? gatewayTimeout : serviceUnavailable, reason, std::nullopt);
    }
    cancelAttempt();
}

} // namespace lycheereach
