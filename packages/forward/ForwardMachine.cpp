#include "forward/ForwardMachine.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr std::uint16_t firstError = 300;
constexpr std::uint16_t firstServerError = 500;
constexpr std::uint16_t badGateway = 502;
constexpr std::uint16_t serviceUnavailable = 503;
constexpr std::uint16_t gatewayTimeout = 504;

/// Attempts at one request that may find no connection.
constexpr std::uint32_t unconnectedLimit = 3;
/// When to come back after upstreams had no place.
constexpr auto refusedRetryAfter = std::chrono::milliseconds(1500);

auto isStream(RouteKind kind) -> bool
{
    return kind == RouteKind::Stream || kind == RouteKind::ResumableStream;
}

} // namespace

ForwardMachine::ForwardMachine(ForwardPlan plan, std::function<bool()> takeRetry)
    : plan_(std::move(plan))
    , takeRetry_(std::move(takeRetry))
    , reader_(plan_.lastEventId_)
{ }

auto ForwardMachine::handle(const ForwardEvent &event, MonotonicTime now)
    -> std::vector<ForwardAction>
{
    now_ = now;
    std::visit([this](const auto &body) { on(body); }, event);
    return std::exchange(actions_, {});
}

auto ForwardMachine::on(const forward_event::Start &) -> void
{
    emit(forward_action::ChooseTarget{});
}

auto ForwardMachine::on(const forward_event::TargetChosen &event) -> void
{
    if (replied_) {
        emit(forward_action::ReleaseTarget{event.target_, "", Verdict::NotRun,
                                           TargetOutcome::Answered});
        return;
    }
    target_ = event.target_;
    isOpen_ = true;
    isCancelled_ = false;
    head_.reset();
    body_.clear();
    spoiled_.clear();
    reader_.beginRun();
    emit(forward_action::StartAttempt{++attempts_, target_, reader_.lastEventId()});
}

auto ForwardMachine::on(const forward_event::NoTarget &event) -> void
{
    if (replied_)
        return;
    if (headSent_) {
        replied_ = true;
        emit(forward_action::BreakOff{event.failure_.message_});
        return;
    }
    const auto status = verdict_ == Verdict::NotRun ? serviceUnavailable : badGateway;
    refuse(status, event.failure_.message_, event.failure_.retryAfter_);
}

auto ForwardMachine::arrivals() const -> std::uint32_t
{
    return attempts_ - unconnected_;
}

auto ForwardMachine::isStreaming() const -> bool
{
    return isStream(plan_.kind_) && head_ && head_->status_ < firstError;
}

auto ForwardMachine::isCurrent(std::uint32_t attempt) const -> bool
{
    return isOpen_ && attempt == attempts_;
}

auto ForwardMachine::spoil(std::string why) -> void
{
    spoiled_ = std::move(why);
    cancel();
}

auto ForwardMachine::cancel() -> void
{
    if (isOpen_ && !std::exchange(isCancelled_, true))
        emit(forward_action::CancelAttempt{attempts_});
}

auto ForwardMachine::on(const forward_event::AttemptHead &event) -> void
{
    if (!isCurrent(event.attempt_) || isCancelled_)
        return;
    const auto &head = event.head_;
    head_ = head;
    if (head.notRun_)
        return;
    if (head.request_ != plan_.request_)
        spoil("the answer carries the id of request '" + head.request_.text() + "'");
    else if (head.status_ < firstError && !head.isSigned_)
        spoil("the answer bears no signature");
}

auto ForwardMachine::on(const forward_event::AttemptPart &event) -> void
{
    if (!isCurrent(event.attempt_) || isCancelled_ || !head_)
        return;
    if (!isStreaming()) {
        body_ += event.bytes_;
        return;
    }
    auto events = reader_.take(event.bytes_);
    if (reader_.hasOverflowed())
        spoil("an event of the stream does not end");
    if (events.empty() || replied_)
        return;
    if (std::exchange(headSent_, true))
        emit(forward_action::SendPart{std::move(events)});
    else
        emit(forward_action::SendHead{*head_, std::move(events)});
}

auto ForwardMachine::on(const forward_event::AttemptEnded &event) -> void
{
    if (!isCurrent(event.attempt_))
        return;
    isOpen_ = false;
    const auto failure = failureOf(event);
    if (failure.empty()) {
        attemptSucceeded();
        return;
    }
    const auto isOther = head_ && head_->isOtherInstance_;
    outcome_ = event.isRefused_ || isOther ? TargetOutcome::Gone : TargetOutcome::Failed;
    // An attempt that found no connection has reached no upstream.
    if (event.verdict_ == Verdict::NotRun && !head_)
        ++unconnected_;
    const auto notRun = event.verdict_ == Verdict::NotRun || (head_ && head_->notRun_);
    attemptFailed(failure, notRun ? Verdict::NotRun : Verdict::MayHaveRun);
}

auto ForwardMachine::failureOf(const forward_event::AttemptEnded &event) const -> std::string
{
    if (!spoiled_.empty())
        return spoiled_;
    if (head_ && head_->notRun_)
        return "the upstream refused with status " + std::to_string(head_->status_);
    if (event.error_)
        return event.message_.empty() ? event.error_.message() : event.message_;
    if (!head_)
        return "the upstream gave no answer";
    if (isStreaming() && !reader_.isBetweenEvents())
        return "the upstream ended the stream within an event";
    if (headSent_ && !isStreaming())
        return "the upstream did not go on with the stream: status "
            + std::to_string(head_->status_);
    const auto failed = head_->status_ >= firstServerError;
    if (failed && mayRepeat(Verdict::MayHaveRun) && arrivals() < plan_.attemptLimit_)
        return "the upstream answered with status " + std::to_string(head_->status_);
    return {};
}

auto ForwardMachine::attemptSucceeded() -> void
{
    emit(forward_action::ReleaseTarget{target_, "", Verdict::Ran, TargetOutcome::Answered});
    if (std::exchange(replied_, true))
        return;
    if (headSent_)
        emit(forward_action::SendEnd{});
    else
        emit(forward_action::SendAnswer{*head_, std::move(body_)});
}

auto ForwardMachine::attemptFailed(const std::string &failure, Verdict verdict) -> void
{
    emit(forward_action::ReleaseTarget{target_, failure, verdict, outcome_});
    verdict_ = combine(verdict_, verdict);
    avoid_.insert(target_.upstream_);
    if (replied_)
        return;
    // Only what may have reached an upstream counts as sent, and only a second send as repeated.
    if (mayGoOn(verdict) && (arrivals() == 0 || std::exchange(hasRetry_, false) || takeRetry_())) {
        emit(forward_action::ChooseTarget{avoid_});
        return;
    }
    if (headSent_) {
        replied_ = true;
        emit(forward_action::BreakOff{failure});
        return;
    }
    const auto hasAnswer
        = head_ && spoiled_.empty() && !head_->notRun_ && head_->status_ >= firstServerError;
    if (hasAnswer) {
        replied_ = true;
        emit(forward_action::SendAnswer{*head_, std::move(body_)});
        return;
    }
    const auto status = verdict_ == Verdict::NotRun ? serviceUnavailable : badGateway;
    refuse(status, failure,
           status == serviceUnavailable ? std::optional<Duration>(refusedRetryAfter)
                                        : std::nullopt);
}

auto ForwardMachine::mayGoOn(Verdict verdict) const -> bool
{
    const auto isTried = arrivals() >= plan_.attemptLimit_ || unconnected_ > unconnectedLimit;
    return !isTried && now_ < plan_.deadline_ && mayRepeat(verdict);
}

auto ForwardMachine::mayRepeat(Verdict verdict) const -> bool
{
    if (plan_.kind_ == RouteKind::ResumableStream)
        return !headSent_ || !reader_.hasUnnumbered();
    return plan_.kind_ == RouteKind::Safe || verdict == Verdict::NotRun;
}

auto ForwardMachine::refuse(std::uint16_t status, std::string reason,
                            std::optional<Duration> retryAfter) -> void
{
    replied_ = true;
    emit(forward_action::SendRefusal{{status, std::move(reason), retryAfter}, verdict_});
}

auto ForwardMachine::on(const forward_event::TargetStalled &) -> void
{
    const auto isMovable = plan_.kind_ == RouteKind::ResumableStream && isOpen_ && !isCancelled_
        && !replied_ && !hasRetry_;
    // Without a further attempt the stream would end for certain; here it may only be slow.
    if (!isMovable || !mayGoOn(Verdict::MayHaveRun) || !takeRetry_())
        return;
    hasRetry_ = true;
    // What still comes of this attempt counts: it may be whole before it is cancelled.
    emit(forward_action::CancelAttempt{attempts_});
}

auto ForwardMachine::on(const forward_event::CallerGone &) -> void
{
    replied_ = true;
    if (plan_.kind_ != RouteKind::Unsafe)
        cancel();
}

auto ForwardMachine::on(const forward_event::DeadlinePassed &) -> void
{
    if (replied_)
        return;
    const auto mayHaveRun = isOpen_ || verdict_ != Verdict::NotRun;
    const auto reason = std::string("the time for the request has passed");
    if (headSent_) {
        replied_ = true;
        emit(forward_action::BreakOff{reason});
    } else {
        verdict_ = mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
        refuse(mayHaveRun ? gatewayTimeout : serviceUnavailable, reason, std::nullopt);
    }
    cancel();
}

} // namespace lycheereach
