#include "forward/ForwardStateMachine.h"

#include "base/ErrorCode.h"

#include <utility>

namespace lycheereach {

namespace {

/// An upstream that is crashed by a request ends within this time of its first event.
constexpr auto crashTimeLimit = std::chrono::milliseconds(500);
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

auto ForwardStateMachine::Attempt::isStreaming(RouteKind kind) const -> bool
{
    if (!isStream(kind) || !head_ || head_->status_ >= firstNonSuccessStatus)
        return false;
    const auto contentType = head_->headers_.find("Content-Type");
    return !contentType || contentType->starts_with("text/event-stream");
}

ForwardStateMachine::ForwardStateMachine(ForwardPlan plan, std::function<bool()> tryTakeRetry,
                                         std::function<bool()> mayCrash)
    : plan_(std::move(plan))
    , tryTakeRetry_(std::move(tryTakeRetry))
    , mayCrash_(std::move(mayCrash))
    , lastEventId_(plan_.kind_ == RouteKind::ResumableStream ? plan_.lastEventId_ : std::nullopt)
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
                                           TargetOutcome::Unused});
        return;
    }
    startAttempt(event.target_);
}

auto ForwardStateMachine::startAttempt(const ForwardTarget &target) -> void
{
    if (attempt_)
        other_ = std::move(attempt_);
    attempt_.emplace(Attempt{
        .number_ = ++attempts_, .target_ = target, .reader_ = EventStreamReader(lastEventId_)});
    emit(forward_action::StartAttempt{attempts_, target, lastEventId_});
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
    return attempts_ - unsentAttempts_;
}

template <typename Machine>
auto ForwardStateMachine::findIn(Machine &machine, std::uint32_t number)
    -> decltype(&*machine.attempt_)
{
    for (auto *attempt : {&machine.attempt_, &machine.other_}) {
        if (*attempt && (*attempt)->number_ == number)
            return &**attempt;
    }
    return nullptr;
}

auto ForwardStateMachine::find(std::uint32_t number) -> Attempt *
{
    return findIn(*this, number);
}

auto ForwardStateMachine::heldBytes(std::uint32_t attempt) const -> std::size_t
{
    const auto *open = findIn(*this, attempt);
    return open == nullptr ? 0 : open->body_.capacity() + open->reader_.pendingBytes();
}

auto ForwardStateMachine::isBrokenOff(const forward_event::AttemptEnded &event) const -> bool
{
    if (event.error_)
        return event.error_ == Error::IncompleteAnswer && event.verdict_ == Verdict::MayHaveRun;
    const auto *attempt = findIn(*this, event.attempt_);
    return attempt != nullptr && !event.isDelimited_ && attempt->isStreaming(plan_.kind_)
        && (!attempt->hasDelivered_ || !attempt->reader_.isAtEventBoundary());
}

auto ForwardStateMachine::take(const Attempt &ended) -> Attempt
{
    if (!attempt_ || &*attempt_ != &ended)
        return *std::exchange(other_, std::nullopt);
    return *std::exchange(attempt_, std::exchange(other_, std::nullopt));
}

auto ForwardStateMachine::reject(Attempt &attempt, std::string reason) -> void
{
    attempt.rejectReason_ = std::move(reason);
    cancel(attempt);
}

auto ForwardStateMachine::cancel(Attempt &attempt) -> void
{
    if (!std::exchange(attempt.isCancelled_, true))
        emit(forward_action::CancelAttempt{attempt.number_});
}

auto ForwardStateMachine::cancelAll() -> void
{
    for (auto *attempt : {&attempt_, &other_}) {
        if (*attempt)
            cancel(**attempt);
    }
}

auto ForwardStateMachine::on(const forward_event::ResponseHeadReceived &event) -> void
{
    auto *attempt = find(event.attempt_);
    if (attempt == nullptr || attempt->isCancelled_)
        return;
    const auto &head = event.head_;
    // A refusal of another request says nothing about this one.
    if (head.echoedRequestId_ != plan_.requestId_) {
        reject(*attempt,
               "the answer carries the id of request '" + head.echoedRequestId_.text() + "'");
        return;
    }
    attempt->head_ = head;
    if (!head.notRun_ && head.status_ < firstNonSuccessStatus && !head.hasSignature_)
        reject(*attempt, "the answer bears no signature");
}

auto ForwardStateMachine::on(const forward_event::AttemptData &event) -> void
{
    auto *attempt = find(event.attempt_);
    if (attempt == nullptr || attempt->isCancelled_ || !attempt->head_)
        return;
    if (!attempt->isStreaming(plan_.kind_)) {
        attempt->body_ += event.bytes_;
        return;
    }
    auto events = attempt->reader_.feed(event.bytes_);
    if (attempt->reader_.hasOverflowed())
        reject(*attempt, "an event of the stream does not end");
    if (attempt->reader_.hasForeignBytes())
        reject(*attempt, "the stream has bytes that are no event");
    // A rejected attempt must not take the place of a sound one.
    const auto isDropped = attempt->isCancelled_ && other_;
    if (!events.empty() && !replied_ && !isDropped)
        deliver(*attempt, std::move(events));
}

auto ForwardStateMachine::deliver(Attempt &source, std::string events) -> void
{
    lastEventId_ = source.reader_.lastEventId();
    hasEventWithoutId_ = hasEventWithoutId_ || source.reader_.hasEventWithoutId();
    source.hasDelivered_ = true;
    isCutWithinEvent_ = false;
    if (!streamSince_)
        streamSince_ = now_;
    const auto number = source.number_;
    if (std::exchange(headSent_, true))
        emit(forward_action::SendEvents{number, std::move(events)});
    else
        emit(forward_action::BeginStream{number, *source.head_, std::move(events)});
    if (!other_)
        return;
    if (number == other_->number_)
        std::swap(attempt_, other_);
    if (other_->isCancelled_)
        return;
    // A newer attempt is cancelled because the earlier upstream has gone on, not for a failure.
    if (other_->number_ > number)
        other_->failureOutcome_ = TargetOutcome::Responded;
    reject(*other_, "another upstream continues the stream");
}

auto ForwardStateMachine::on(const forward_event::AttemptEnded &event) -> void
{
    const auto *found = find(event.attempt_);
    if (found == nullptr)
        return;
    const auto isBrokenOff = this->isBrokenOff(event);
    auto ended = take(*found);
    ended.isDelimited_ = event.isDelimited_;
    const auto failure = failureOf(ended, event);
    const auto isWholeAnswer = failure.empty() && !ended.isStreaming(plan_.kind_);
    isCutWithinEvent_ = isCutWithinEvent_ || !ended.reader_.isAtEventBoundary();
    // Beside another attempt only a success ends the request.
    const auto isSuccess = ended.head_ && ended.head_->status_ < firstNonSuccessStatus;
    if (failure.empty() && (!hasOtherAttempt() || isSuccess)) {
        attemptSucceeded(std::move(ended));
        return;
    }
    if (isWholeAnswer)
        reserve_ = ended;
    const auto isOtherInstance = ended.head_ && ended.head_->isOtherInstance_;
    if (event.isRefused_ || isOtherInstance)
        ended.failureOutcome_ = TargetOutcome::Unavailable;
    const auto hasFailed = event.error_ && event.verdict_ == Verdict::MayHaveRun;
    ended.isWhole_ = !event.error_;
    ended.isBroken_ = (hasFailed || isBrokenOff) && !ended.isCancelled_;
    // An attempt without a connection has not reached an upstream.
    if (event.verdict_ == Verdict::NotRun && !ended.head_) {
        ++unsentAttempts_;
        unconnectedAttempts_ += ended.isCancelled_ ? 0 : 1;
    }
    const auto notRun = event.verdict_ == Verdict::NotRun || (ended.head_ && ended.head_->notRun_);
    attemptFailed(std::move(ended), failure.empty() ? "an earlier attempt is still open" : failure,
                  notRun ? Verdict::NotRun : Verdict::MayHaveRun);
}

auto ForwardStateMachine::failureOf(const Attempt &attempt,
                                    const forward_event::AttemptEnded &event) const -> std::string
{
    if (!attempt.rejectReason_.empty())
        return attempt.rejectReason_;
    const auto &head = attempt.head_;
    if (head && head->notRun_)
        return "the upstream refused with status " + std::to_string(head->status_);
    if (event.error_)
        return event.message_.empty() ? event.error_.message() : event.message_;
    if (!head)
        return "the upstream gave no answer";
    const auto isStreaming = attempt.isStreaming(plan_.kind_);
    if (isStreaming && !attempt.reader_.isAtEventBoundary())
        return "the upstream ended the stream within an event";
    // Beside another attempt, an end without events does not show that the stream is complete.
    if (isStreaming && !attempt.hasDelivered_ && (hasOtherAttempt() || !isStreamComplete(event)))
        return "the upstream ended the stream without an event";
    if (headSent_ && !isStreaming)
        return "the upstream did not go on with the stream: status "
            + std::to_string(head->status_);
    const auto hasServerError = head->status_ >= firstServerErrorStatus;
    if (hasServerError && isRetrySafe(Verdict::MayHaveRun) && attemptsSent() < plan_.attemptLimit_)
        return "the upstream answered with status " + std::to_string(head->status_);
    return {};
}

auto ForwardStateMachine::isStreamComplete(const forward_event::AttemptEnded &event) const -> bool
{
    // An upstream that crashes before its first event ends an answer that is not delimited in the
    // same way as one that has no event left.
    return headSent_ && !isCutWithinEvent_ && event.isDelimited_;
}

auto ForwardStateMachine::attemptSucceeded(Attempt attempt) -> void
{
    emit(
        forward_action::ReleaseTarget{attempt.target_, "", Verdict::Ran, TargetOutcome::Responded});
    if (std::exchange(replied_, true))
        return;
    if (headSent_ || attempt.head_->status_ < firstNonSuccessStatus)
        emit(forward_action::RecordSuccess{attempt.target_, attempt.isDelimited_});
    if (headSent_)
        emit(forward_action::EndStream{});
    else
        emit(forward_action::SendResponse{*attempt.head_, std::move(attempt.body_)});
    if (attempt_)
        reject(*attempt_, "another upstream ended the stream");
}

auto ForwardStateMachine::attemptFailed(Attempt attempt, const std::string &failure,
                                        Verdict verdict) -> void
{
    emit(forward_action::ReleaseTarget{attempt.target_, failure, verdict, attempt.failureOutcome_});
    verdict_ = combine(verdict_, verdict);
    avoid_.insert(attempt.target_.upstream_);
    if (replied_ || hasOtherAttempt())
        return;
    if (reserve_ && !headSent_) {
        replied_ = true;
        emit(forward_action::SendResponse{*reserve_->head_, std::move(reserve_->body_)});
        return;
    }
    // A further attempt takes from the retry budget only once an earlier one may have reached an
    // upstream.
    if (mayRetry(verdict) && !mayHaveCrashedIts(attempt)
        && (attemptsSent() == 0 || tryTakeRetry_())) {
        emit(forward_action::ChooseTarget{avoid_});
        return;
    }
    if (headSent_) {
        replied_ = true;
        emit(forward_action::AbortResponse{failure});
        return;
    }
    const auto hasErrorResponse = attempt.head_ && attempt.isWhole_ && attempt.rejectReason_.empty()
        && !attempt.head_->notRun_ && attempt.head_->status_ >= firstServerErrorStatus;
    if (hasErrorResponse) {
        replied_ = true;
        emit(forward_action::SendResponse{*attempt.head_, std::move(attempt.body_)});
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

auto ForwardStateMachine::mayHaveCrashedIts(const Attempt &attempt) const -> bool
{
    const auto hasGoneOn = streamSince_ && now_ - *streamSince_ >= crashTimeLimit;
    return attempt.isBroken_ && !hasGoneOn && mayCrash_ && mayCrash_();
}

auto ForwardStateMachine::isRetrySafe(Verdict verdict) const -> bool
{
    if (plan_.kind_ == RouteKind::ResumableStream)
        return !headSent_ || !hasEventWithoutId_;
    return plan_.kind_ == RouteKind::Safe || verdict == Verdict::NotRun;
}

auto ForwardStateMachine::refuse(std::uint16_t status, std::string reason,
                                 std::optional<Duration> retryAfter) -> void
{
    replied_ = true;
    emit(forward_action::SendRefusal{{status, std::move(reason), retryAfter}, verdict_});
}

auto ForwardStateMachine::mayMoveFrom(const ForwardTarget &target) const -> bool
{
    // Before its first event a request may still be about to crash its upstream.
    const auto mayCrashAnother = !streamSince_ && mayCrash_ && mayCrash_();
    return plan_.kind_ == RouteKind::ResumableStream && !replied_ && attempt_ && !other_
        && !attempt_->isCancelled_ && attempt_->target_ == target && mayRetry(Verdict::MayHaveRun)
        && !mayCrashAnother;
}

auto ForwardStateMachine::on(const forward_event::TargetStalled &event) -> void
{
    if (!attempt_ || !mayMoveFrom(attempt_->target_) || !tryTakeRetry_()) {
        emit(forward_action::ReleaseTarget{event.alternative_, "", Verdict::NotRun,
                                           TargetOutcome::Unused});
        return;
    }
    startAttempt(event.alternative_);
}

auto ForwardStateMachine::on(const forward_event::CallerDisconnected &) -> void
{
    replied_ = true;
    if (plan_.kind_ != RouteKind::Unsafe)
        cancelAll();
}

auto ForwardStateMachine::on(const forward_event::DeadlinePassed &) -> void
{
    if (replied_) {
        cancelAll();
        return;
    }
    giveUp(gatewayTimeout, "the time for the request has passed");
}

auto ForwardStateMachine::on(const forward_event::EntryStops &) -> void
{
    if (!replied_)
        giveUp(badGateway, "the entry stops before the answer is complete");
}

auto ForwardStateMachine::giveUp(std::uint16_t statusIfRun, const std::string &reason) -> void
{
    const auto mayHaveRun = attempt_ || verdict_ != Verdict::NotRun;
    if (headSent_) {
        replied_ = true;
        emit(forward_action::AbortResponse{reason});
    } else {
        verdict_ = mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
        refuse(mayHaveRun ? statusIfRun : serviceUnavailable, reason, std::nullopt);
    }
    cancelAll();
}

} // namespace lycheereach
