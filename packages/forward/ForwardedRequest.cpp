#include "forward/ForwardedRequest.h"

#include "base/ErrorCode.h"
#include "forward/CrashWatch.h"
#include "forward/TargetTable.h"
#include "requests/ProvenFingerprints.h"
#include "transport/HttpClient.h"
#include "transport/HttpReply.h"
#include "transport/WorkerPool.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// Retry-After while no upstream accepts requests.
constexpr auto noTargetRetryAfter = std::chrono::milliseconds(2000);

auto isStreaming(RouteKind kind) -> bool
{
    return kind == RouteKind::Stream || kind == RouteKind::ResumableStream;
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwardContext &context, RoutedRequest routed,
                                   std::shared_ptr<HttpReply> reply, FinishedCallback onFinished)
    : context_(context)
    , routed_(std::move(routed))
    , reply_(std::move(reply))
    , onFinished_(std::move(onFinished))
    , arrivedAt_(routed_.request_.arrivedAt_)
    , deadline_(deadlineOf(routed_.request_, routed_.route_))
    , mutex_(LockRank::Requests)
    , stateMachine_(
          ForwardPlan{
              .requestId_ = routed_.request_.id_,
              .kind_ = routed_.route_.kind_,
              .deadline_ = deadline_,
              .attemptLimit_ = routed_.route_.attemptLimit_,
              .lastEventId_ = routed_.request_.lastEventId_,
          },
          [this] { return context_.tryTakeRetry_(routed_.service_); },
          [this] { return !context_.crashes_.arePartsProven(routed_.request_.fingerprints_); })
{ }

ForwardedRequest::~ForwardedRequest() = default;

auto ForwardedRequest::start() -> void
{
    deadlineTimer_
        = context_.workers_.after(deadline_ - context_.clock_(), [weak = weak_from_this()] {
              if (const auto self = weak.lock())
                  self->post(forward_event::DeadlinePassed{});
          });
    // Runs the callback immediately when the caller has already disconnected.
    reply_->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->post(forward_event::CallerDisconnected{});
    });
    post(forward_event::Start{});
}

auto ForwardedRequest::post(const ForwardEvent &event) -> void
{
    const auto self = shared_from_this();
    auto hasJustFinished = false;
    {
        const auto lock = std::scoped_lock(mutex_);
        if (isDone_)
            return;
        handle(event);
        isDone_ = stateMachine_.isFinished();
        hasJustFinished = isDone_;
    }
    if (!hasJustFinished)
        return;
    deadlineTimer_->cancel();
    onFinished_(this);
}

auto ForwardedRequest::targetStalled(const ForwardTarget &target) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (isDone_ || !stateMachine_.mayMoveFrom(target))
        return;
    const auto &admission = context_.settings_.retryLimit_;
    auto alternative = context_.targets_.chooseAlternative(target, admission, context_.clock_());
    if (alternative)
        handle(forward_event::TargetStalled{std::move(*alternative)});
}

auto ForwardedRequest::handle(const ForwardEvent &event) -> void
{
    for (const auto &action : stateMachine_.handle(event, context_.clock_()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

auto ForwardedRequest::perform(const forward_action::ChooseTarget &action) -> void
{
    const auto &settings = context_.settings_;
    const auto isRetry = !action.avoid_.empty();
    const auto &initialLimit
        = routed_.request_.wasHeld_ ? settings.heldRequestLimit_ : settings.newRequestLimit_;
    const auto &admission = isRetry ? settings.retryLimit_ : initialLimit;
    const auto suspect = context_.crashes_.findSuspect(routed_.request_.fingerprints_);
    const auto now = context_.clock_();
    auto &targets = context_.targets_;
    const auto target = suspect.empty()
        ? targets.choose(routed_.pool_, action.avoid_, admission, now)
        : targets.chooseIsolated(routed_.pool_, action.avoid_, admission, suspect, now);
    if (target) {
        handle(forward_event::TargetChosen{*target});
        return;
    }
    const auto isFull = context_.targets_.hasTarget(routed_.pool_);
    const auto what = isFull ? "all upstreams of '" : "no upstream of '";
    const auto why = isFull ? "' are full" : "' takes requests";
    auto failure = Failure{.code_ = Error::Overloaded,
                           .message_ = what + routed_.pool_.text() + why,
                           .retryAfter_ = noTargetRetryAfter};
    handle(forward_event::NoTargetAvailable{std::move(failure)});
}

auto ForwardedRequest::perform(const forward_action::StartAttempt &action) -> void
{
    const auto remaining = deadline_ - context_.clock_();
    const auto parameters = AttemptParameters{.target_ = action.target_,
                                              .workspace_ = routed_.workspace_,
                                              .remainingTime_ = remaining,
                                              .lastEventId_ = action.lastEventId_,
                                              .priority_ = routed_.priority_};
    const auto kind = routed_.route_.kind_;
    const auto isStream = isStreaming(kind);
    const auto &settings = context_.settings_;
    auto http
        = HttpCall{.address_ = action.target_.address_,
                   .request_ = context_.codec_.writeRequest_(routed_.request_, parameters),
                   .connectTimeout_ = std::min<Duration>(settings.connectTimeout_, remaining),
                   .firstByteTimeout_ = isStream ? settings.firstEventTimeout_ : remaining,
                   .idleTimeout_ = isStream ? settings.streamIdleTimeout_ : remaining,
                   .freshConnection_ = kind == RouteKind::Unsafe || kind == RouteKind::Stream};
    const auto id
        = context_.client_.start(std::move(http), hooksFor(action.attempt_, action.target_));
    calls_.insert_or_assign(action.attempt_, Call{action.target_, context_.clock_(), id});
}

auto ForwardedRequest::hooksFor(std::uint32_t attempt, const ForwardTarget &target) -> HttpCallHooks
{
    const auto self = shared_from_this();
    return HttpCallHooks{
        [self, attempt, target](const HttpResponse &response) {
            auto head = self->context_.codec_.parseHead_(response);
            if (head.load_)
                self->context_.targets_.recordLoad(target, *head.load_, self->context_.clock_());
            self->post(forward_event::ResponseHeadReceived{attempt, std::move(head)});
        },
        [self, attempt](std::string_view part) {
            self->post(forward_event::AttemptData{attempt, std::string(part)});
            self->moveIfNoWholeEvent(attempt);
        },
        [self, attempt, target](const HttpOutcome &outcome) {
            const auto ended = forward_event::AttemptEnded{
                attempt,          outcome.error_,     outcome.verdict_,
                outcome.message_, outcome.isRefused_, outcome.isDelimited_};
            self->recordIfBroken(target, ended);
            self->post(ended);
        },
        [self, target] { self->targetStalled(target); },
        [self](const HttpResponse &response) {
            const auto head = self->context_.codec_.parseHead_(response);
            return head.echoedRequestId_ == self->routed_.request_.id_;
        },
        [self, attempt](std::size_t /*bodyBytes*/) {
            const auto lock = std::scoped_lock(self->mutex_);
            return self->stateMachine_.heldBytes(attempt);
        }};
}

auto ForwardedRequest::recordServed() -> void
{
    if (!std::exchange(isServedRecorded_, true))
        context_.crashes_.recordServed(routed_.request_.fingerprints_);
}

auto ForwardedRequest::isSoundStream(MonotonicTime now) const -> bool
{
    return streamSince_ && now - *streamSince_ >= ProvenFingerprints::soundStreamTime;
}

auto ForwardedRequest::recordIfBroken(const ForwardTarget &target,
                                      const forward_event::AttemptEnded &ended) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        if (isServedRecorded_ || !stateMachine_.isBrokenOff(ended))
            return;
    }
    context_.crashes_.recordBroken(target, routed_.request_.fingerprints_);
}

auto ForwardedRequest::handleProgress(std::uint32_t attempt) -> void
{
    auto &call = calls_.at(attempt);
    call.progressAt_ = context_.clock_();
    if (!streamSince_)
        streamSince_ = call.progressAt_;
    if (isSoundStream(call.progressAt_))
        recordServed();
    if (context_.targets_.recordProgress(call.target_, call.progressAt_))
        context_.onProgress_(call.target_.upstream_);
}

auto ForwardedRequest::moveIfNoWholeEvent(std::uint32_t attempt) -> void
{
    if (!isStreaming(routed_.route_.kind_))
        return;
    auto target = ForwardTarget{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto &settings = context_.settings_;
        const auto timeout
            = std::max<Duration>(settings.firstEventTimeout_, settings.streamIdleTimeout_);
        const auto &call = calls_.at(attempt);
        if (context_.clock_() - call.progressAt_ < timeout)
            return;
        target = call.target_;
    }
    targetStalled(target);
}

auto ForwardedRequest::perform(const forward_action::CancelAttempt &action) -> void
{
    context_.client_.cancel(calls_.at(action.attempt_).id_);
}

auto ForwardedRequest::perform(const forward_action::ReleaseTarget &action) -> void
{
    context_.targets_.release(action.target_, action.outcome_, context_.clock_());
    if (!action.failure_.empty())
        emit(EventNumber::AttemptEnded,
             {{"upstream", action.target_.upstream_.text()},
              {"verdict", std::string(toString(action.verdict_))},
              {"reason", action.failure_}});
}

auto ForwardedRequest::responseHeaders(const ForwardResponseHead &head) const -> HttpHeaders
{
    auto headers = head.headers_;
    if (context_.isLeaving_())
        headers.add("Connection", "close");
    return headers;
}

auto ForwardedRequest::perform(const forward_action::BeginStream &action) -> void
{
    handleProgress(action.attempt_);
    reply_->begin(
        HttpResponse{action.head_.status_, responseHeaders(action.head_), action.events_});
}

auto ForwardedRequest::perform(const forward_action::SendEvents &action) -> void
{
    handleProgress(action.attempt_);
    reply_->write(action.events_, nullptr);
}

auto ForwardedRequest::perform(const forward_action::RecordSuccess &action) -> void
{
    if (action.isDelimited_ || isSoundStream(context_.clock_()))
        recordServed();
    else if (!isServedRecorded_)
        context_.crashes_.recordUndelimited(action.target_, routed_.request_.fingerprints_);
}

auto ForwardedRequest::perform(const forward_action::EndStream & /*action*/) -> void
{
    reply_->finish();
}

auto ForwardedRequest::perform(const forward_action::SendResponse &action) -> void
{
    reply_->send(HttpResponse{action.head_.status_, responseHeaders(action.head_), action.body_});
}

auto ForwardedRequest::perform(const forward_action::SendRefusal &action) -> void
{
    emit(EventNumber::RequestRefused,
         {{"status", std::to_string(action.refusal_.status_)},
          {"verdict", std::string(toString(action.verdict_))},
          {"reason", action.refusal_.reason_}});
    reply_->send(context_.codec_.writeRefusal_(action.refusal_));
}

auto ForwardedRequest::perform(const forward_action::AbortResponse &action) -> void
{
    const auto declaration = context_.declarationAge_();
    emit(EventNumber::RequestRefused,
         {{"verdict", "may-have-run"},
          {"reason", "stream broken off: " + action.reason_},
          {"upstream", calls_.empty() ? "" : calls_.rbegin()->second.target_.upstream_.text()},
          {"version", std::to_string(declaration.version_)},
          {"versionAgeMs", std::to_string(toMilliseconds(declaration.age_))}});
    reply_->abort();
}

auto ForwardedRequest::emit(EventNumber number, std::map<std::string, std::string> attributes)
    -> void
{
    attributes["request"] = routed_.request_.id_.text();
    attributes["ageMs"] = std::to_string(toMilliseconds(context_.clock_() - arrivedAt_));
    context_.eventSink_(Event{number, std::move(attributes)});
}

} // namespace lycheereach
