#include "gateway/ActiveRequest.h"

#include "control/ControlService.h"
#include "gateway/Metrics.h"
#include "gateway/ProblemResponse.h"
#include "transport/WorkerPool.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

auto makeRequestProperties(const CallerRequest &request, const Policy &policy,
                           SuspicionStatus suspicion) -> RequestProperties
{
    return RequestProperties{.request_ = request.id_,
                             .repeatable_ = request.repeatable_,
                             .idempotencyKey_ = request.claimKey_,
                             .digest_ = request.digest_,
                             .fingerprints_ = request.fingerprints_,
                             .framing_ = request.answerKind_,
                             .suspicion_ = suspicion,
                             .maxTokens_ = request.chat_ ? request.chat_->maxTokens_ : std::nullopt,
                             .deadline_ = request.deadline_,
                             .attemptLimit_ = policy.attemptLimit_};
}

} // namespace

ActiveRequest::ActiveRequest(RequestContext &context, CallerRequest request, Policy policy,
                             SuspicionStatus suspicion, std::shared_ptr<HttpReply> reply,
                             FinishedCallback onFinished)
    : context_(context)
    , request_(std::move(request))
    , policy_(policy)
    , reply_(std::move(reply))
    , onFinished_(std::move(onFinished))
    , arrivedAt_(context.now_())
    , mutex_(LockRank::Requests)
    , machine_(makeRequestProperties(request_, policy_, suspicion),
               RequestCallbacks{context.tryTakeRetry_, context.random_})
{ }

auto ActiveRequest::post(RequestEvent event) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        pendingEvents_.push_back(std::move(event));
        if (isHandlingEvents_)
            return;
        isHandlingEvents_ = true;
    }
    const auto keepAlive = shared_from_this();
    while (const auto next = takeNextEvent())
        perform(machine_.handle(*next, context_.now_()));
}

auto ActiveRequest::takeNextEvent() -> std::optional<RequestEvent>
{
    const auto isNewlyFinished = machine_.finished() && !isFinishReported_;
    if (isNewlyFinished) {
        isFinishReported_ = true;
        if (deadlineTimer_)
            deadlineTimer_->cancel();
        onFinished_(request_.id_);
    }
    const auto lock = std::scoped_lock(mutex_);
    if (pendingEvents_.empty()) {
        isHandlingEvents_ = false;
        return std::nullopt;
    }
    auto event = std::move(pendingEvents_.front());
    pendingEvents_.pop_front();
    return event;
}

auto ActiveRequest::perform(const std::vector<RequestAction> &actions) -> void
{
    for (const auto &action : actions)
        std::visit([this](const auto &body) { perform(body); }, action);
}

auto ActiveRequest::responseHeaders(Verdict verdict) const -> HttpHeaders
{
    auto headers = HttpHeaders{};
    headers.add("X-Request-Id", request_.id_.text());
    headers.add("X-Entry", context_.self_.text());
    headers.add("X-Verdict", std::string(toString(verdict)));
    if (!targetName_.empty())
        headers.add("X-Group", targetName_);
    return headers;
}

auto ActiveRequest::recordEvent(EventNumber number, std::map<std::string, std::string> attributes)
    -> void
{
    attributes["request"] = request_.id_.text();
    context_.event_(Event{number, std::move(attributes)});
}

auto ActiveRequest::perform(const request_action::SendResponse &action) -> void
{
    auto headers = responseHeaders(action.verdict_);
    headers.add("Content-Type", action.answer_.contentType_);
    if (action.replayed_)
        headers.add("X-Replayed", "true");
    reply_->send(HttpResponse{action.answer_.status_, std::move(headers), action.answer_.body_});
    recordEvent(EventNumber::RequestAnswered,
                {{"verdict", std::string(toString(action.verdict_))}});
    context_.metrics_.requestEnded(action.verdict_, context_.now_() - arrivedAt_);
}

auto ActiveRequest::perform(const request_action::StartStream &action) -> void
{
    auto headers = responseHeaders(Verdict::Ran);
    headers.add("Content-Type", action.contentType_);
    headers.add("Cache-Control", "no-store");
    reply_->begin(HttpResponse{action.status_, std::move(headers), {}});
}

auto ActiveRequest::perform(const request_action::SendStreamData &action) -> void
{
    reply_->write(action.bytes_, [weak = weak_from_this()](std::error_code error) {
        const auto request = weak.lock();
        if (error && request)
            request->post(request_event::CallerDisconnected{});
    });
}

auto ActiveRequest::perform(const request_action::EndStream &) -> void
{
    reply_->finish();
    recordEvent(EventNumber::RequestAnswered, {{"verdict", "ran"}});
    context_.metrics_.requestEnded(Verdict::Ran, context_.now_() - arrivedAt_);
}

auto ActiveRequest::perform(const request_action::SendError &action) -> void
{
    const auto &problem = action.problem_;
    const auto verdict = std::string(toString(problem.verdict_));
    recordEvent(EventNumber::RequestRefused, {{"verdict", verdict}, {"reason", problem.detail_}});
    context_.metrics_.requestEnded(problem.verdict_, context_.now_() - arrivedAt_);
    if (action.inStream_) {
        reply_->write(problem.toServerSentEvent(), [](std::error_code) {});
        reply_->finish();
        return;
    }
    auto response = problemResponse(problem);
    const auto headers = responseHeaders(problem.verdict_);
    for (const auto &header : headers.all())
        response.headers_.add(header.name_, header.value_);
    reply_->send(std::move(response));
}

auto ActiveRequest::perform(const request_action::RecordMismatchedResponse &action) -> void
{
    recordEvent(EventNumber::WrongAnswerDropped,
                {{"attempt", action.attempt_.text()}, {"group", action.target_.name_}});
}

auto ActiveRequest::perform(const request_action::StartTimer &action) -> void
{
    const auto delay = std::max(Duration::zero(), action.at_ - context_.now_());
    deadlineTimer_ = context_.workers_.after(delay, [weak = weak_from_this()] {
        if (const auto request = weak.lock())
            request->post(request_event::DeadlinePassed{});
    });
}

} // namespace lycheereach
