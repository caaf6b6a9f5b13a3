#include "forward/ForwardedRequest.h"

#include "base/ErrorCode.h"
#include "forward/TargetTable.h"
#include "transport/HttpClient.h"
#include "transport/HttpReply.h"
#include "transport/WorkerPool.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// When to come back while no upstream takes requests.
constexpr auto noTargetRetryAfter = std::chrono::milliseconds(2000);

auto isStreaming(RouteKind kind) -> bool
{
    return kind == RouteKind::Stream || kind == RouteKind::ResumableStream;
}

auto deadlineOf(const ForwardRequest &request, const HttpRoute &route, MonotonicTime now)
    -> MonotonicTime
{
    auto allowed = Duration(std::chrono::milliseconds(route.timeoutMs_));
    if (request.patience_)
        allowed = std::min(allowed, *request.patience_);
    return now + allowed;
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwardContext &context, RoutedRequest routed,
                                   std::shared_ptr<HttpReply> reply, Finished finished)
    : context_(context)
    , routed_(std::move(routed))
    , reply_(std::move(reply))
    , finished_(std::move(finished))
    , arrivedAt_(routed_.request_.arrivedAt_)
    , deadline_(deadlineOf(routed_.request_, routed_.route_, arrivedAt_))
    , mutex_(LockRank::Requests)
    , machine_(
          ForwardPlan{
              .request_ = routed_.request_.id_,
              .kind_ = routed_.route_.kind_,
              .deadline_ = deadline_,
              .attemptLimit_ = routed_.route_.attemptLimit_,
              .lastEventId_ = routed_.request_.lastEventId_,
          },
          [this] { return context_.takeRetry_(routed_.service_); })
{ }

ForwardedRequest::~ForwardedRequest() = default;

auto ForwardedRequest::start() -> void
{
    timer_ = context_.workers_.after(deadline_ - context_.now_(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->post(forward_event::DeadlinePassed{});
    });
    // Calls back at once when the caller has left already.
    reply_->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->post(forward_event::CallerGone{});
    });
    post(forward_event::Start{});
}

auto ForwardedRequest::post(const ForwardEvent &event) -> void
{
    const auto self = shared_from_this();
    auto isOver = false;
    {
        const auto lock = std::scoped_lock(mutex_);
        if (isDone_)
            return;
        handle(event);
        isDone_ = machine_.finished();
        isOver = isDone_;
    }
    if (!isOver)
        return;
    timer_->cancel();
    finished_(this);
}

auto ForwardedRequest::targetStalled(const ForwardTarget &target) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        if (isDone_ || !call_ || target_ != target)
            return;
    }
    const auto &admission = context_.settings_.again_;
    if (context_.targets_.hasOther(target, admission, context_.now_()))
        post(forward_event::TargetStalled{});
}

auto ForwardedRequest::handle(const ForwardEvent &event) -> void
{
    for (const auto &action : machine_.handle(event, context_.now_()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

auto ForwardedRequest::perform(const forward_action::ChooseTarget &action) -> void
{
    const auto &settings = context_.settings_;
    const auto isAgain = !action.avoid_.empty();
    const auto &first = routed_.request_.wasHeld_ ? settings.held_ : settings.first_;
    const auto &admission = isAgain ? settings.again_ : first;
    const auto target
        = context_.targets_.choose(routed_.pool_, action.avoid_, admission, context_.now_());
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
    handle(forward_event::NoTarget{std::move(failure)});
}

auto ForwardedRequest::perform(const forward_action::StartAttempt &action) -> void
{
    target_ = action.target_;
    progressAt_ = context_.now_();
    const auto left = deadline_ - context_.now_();
    const auto call = ForwardCall{.target_ = action.target_,
                                  .workspace_ = routed_.workspace_,
                                  .left_ = left,
                                  .lastEventId_ = action.lastEventId_,
                                  .priority_ = routed_.priority_};
    const auto kind = routed_.route_.kind_;
    const auto streams = isStreaming(kind);
    const auto &settings = context_.settings_;
    auto http
        = HttpCall{.address_ = action.target_.address_,
                   .request_ = context_.dialect_.writeRequest_(routed_.request_, call),
                   .connectTimeout_ = std::min<Duration>(settings.connectTimeout_, left),
                   .firstByteTimeout_ = streams ? settings.firstEventTimeout_ : left,
                   .idleTimeout_ = streams ? settings.streamIdleTimeout_ : left,
                   .freshConnection_ = kind == RouteKind::Unsafe || kind == RouteKind::Stream};
    call_ = context_.client_.start(std::move(http), hooksFor(action.attempt_, action.target_));
}

auto ForwardedRequest::hooksFor(std::uint32_t attempt, const ForwardTarget &target) -> HttpCallHooks
{
    const auto self = shared_from_this();
    return HttpCallHooks{
        [self, attempt, target](const HttpResponse &response) {
            auto head = self->context_.dialect_.readHead_(response);
            if (head.load_)
                self->context_.targets_.report(target, *head.load_, self->context_.now_());
            self->post(forward_event::AttemptHead{attempt, std::move(head)});
        },
        [self, attempt](std::string_view part) {
            self->post(forward_event::AttemptPart{attempt, std::string(part)});
            self->cancelIfDripping();
        },
        [self, attempt](const HttpOutcome &outcome) {
            self->post(forward_event::AttemptEnded{attempt, outcome.error_, outcome.verdict_,
                                                   outcome.message_, outcome.isRefused_});
        }};
}

auto ForwardedRequest::noteProgress() -> void
{
    progressAt_ = context_.now_();
    if (context_.targets_.progressed(target_, progressAt_))
        context_.hasProgressed_(target_.upstream_);
}

auto ForwardedRequest::cancelIfDripping() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto &settings = context_.settings_;
    const auto allowed
        = std::max<Duration>(settings.firstEventTimeout_, settings.streamIdleTimeout_);
    const auto isStalled = context_.now_() - progressAt_ >= allowed;
    if (!isDone_ && call_ && isStreaming(routed_.route_.kind_) && isStalled)
        context_.client_.cancel(*call_);
}

auto ForwardedRequest::perform(const forward_action::CancelAttempt & /*action*/) -> void
{
    if (call_)
        context_.client_.cancel(*call_);
}

auto ForwardedRequest::perform(const forward_action::ReleaseTarget &action) -> void
{
    context_.targets_.release(action.target_, action.outcome_, context_.now_());
    if (!action.failure_.empty())
        emit(EventNumber::AttemptEnded,
             {{"upstream", action.target_.upstream_.text()},
              {"verdict", std::string(toString(action.verdict_))},
              {"reason", action.failure_}});
}

auto ForwardedRequest::answerHeaders(const ForwardHead &head) const -> HttpHeaders
{
    auto headers = head.headers_;
    if (context_.isLeaving_())
        headers.add("Connection", "close");
    return headers;
}

auto ForwardedRequest::perform(const forward_action::SendHead &action) -> void
{
    noteProgress();
    reply_->begin(HttpResponse{action.head_.status_, answerHeaders(action.head_), action.events_});
}

auto ForwardedRequest::perform(const forward_action::SendPart &action) -> void
{
    noteProgress();
    reply_->write(action.events_, nullptr);
}

auto ForwardedRequest::perform(const forward_action::SendEnd & /*action*/) -> void
{
    reply_->finish();
}

auto ForwardedRequest::perform(const forward_action::SendAnswer &action) -> void
{
    reply_->send(HttpResponse{action.head_.status_, answerHeaders(action.head_), action.body_});
}

auto ForwardedRequest::perform(const forward_action::SendRefusal &action) -> void
{
    emit(EventNumber::RequestRefused,
         {{"status", std::to_string(action.refusal_.status_)},
          {"verdict", std::string(toString(action.verdict_))},
          {"reason", action.refusal_.reason_}});
    reply_->send(context_.dialect_.writeRefusal_(action.refusal_));
}

auto ForwardedRequest::perform(const forward_action::BreakOff &action) -> void
{
    emit(EventNumber::RequestRefused,
         {{"verdict", "may-have-run"}, {"reason", "stream broken off: " + action.reason_}});
    reply_->abort();
}

auto ForwardedRequest::emit(EventNumber number, std::map<std::string, std::string> attributes)
    -> void
{
    attributes["request"] = routed_.request_.id_.text();
    attributes["ageMs"] = std::to_string(toMilliseconds(context_.now_() - arrivedAt_));
    context_.event_(Event{number, std::move(attributes)});
}

} // namespace lycheereach
