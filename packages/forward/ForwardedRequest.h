/// \file
/// \brief Carries out the actions of a ForwardStateMachine for one request.
#pragma once

#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/ForwardContext.h"
#include "forward/ForwardStateMachine.h"
#include "forward/RoutedRequest.h"
#include "transport/HttpCall.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lycheereach {

class HttpReply;
class Timer;

/// One forwarded request in progress. Events may be posted from any thread and are handled one at a
/// time under a lock of rank LockRank::Requests; an event that an action produces synchronously is
/// handled under the same lock.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    /// Called when the caller needs nothing more and no attempt is open.
    using FinishedCallback = std::function<void(const ForwardedRequest *)>;

    ForwardedRequest(ForwardContext &context, RoutedRequest routed,
                     std::shared_ptr<HttpReply> reply, FinishedCallback onFinished);
    ~ForwardedRequest();
    ForwardedRequest(const ForwardedRequest &) = delete;
    auto operator=(const ForwardedRequest &) -> ForwardedRequest & = delete;

    /// Starts the deadline timer and the first attempt.
    auto start() -> void;
    /// Tries another upstream beside \a target, which is silent, if the stream runs there and may
    /// be continued elsewhere.
    auto targetStalled(const ForwardTarget &target) -> void;
    /// Handles \a event and carries out the resulting actions.
    auto post(const ForwardEvent &event) -> void;

private:
    /// The HTTP call of an attempt.
    struct Call
    {
        ForwardTarget target_;
        /// When the attempt started or last delivered complete events.
        MonotonicTime progressAt_;
        /// HttpClient's id.
        std::uint64_t id_ = 0;
    };

    auto handle(const ForwardEvent &event) -> void;
    auto perform(const forward_action::ChooseTarget &action) -> void;
    auto perform(const forward_action::StartAttempt &action) -> void;
    auto perform(const forward_action::CancelAttempt &action) -> void;
    auto perform(const forward_action::ReleaseTarget &action) -> void;
    auto perform(const forward_action::BeginStream &action) -> void;
    auto perform(const forward_action::SendEvents &action) -> void;
    auto perform(const forward_action::RecordSuccess &action) -> void;
    auto perform(const forward_action::EndStream &action) -> void;
    auto perform(const forward_action::SendResponse &action) -> void;
    auto perform(const forward_action::SendRefusal &action) -> void;
    auto perform(const forward_action::AbortResponse &action) -> void;
    [[nodiscard]] auto hooksFor(std::uint32_t attempt, const ForwardTarget &target)
        -> HttpCallHooks;
    /// Records that the target of \a attempt delivered complete events.
    auto handleProgress(std::uint32_t attempt) -> void;
    /// Records that the request has not crashed its upstream.
    auto recordServed() -> void;
    /// Whether a stream has gone on for so long that the request has not crashed its upstream.
    [[nodiscard]] auto isSoundStream(MonotonicTime now) const -> bool;
    /// Reports what was in flight at \a target, whose connection \a ended, if the request may have
    /// crashed it.
    auto recordIfBroken(const ForwardTarget &target, const forward_event::AttemptEnded &ended)
        -> void;
    /// As targetStalled(), when the stream of \a attempt sends bytes, but has completed no event
    /// within the timeout.
    auto moveIfNoWholeEvent(std::uint32_t attempt) -> void;
    [[nodiscard]] auto responseHeaders(const ForwardResponseHead &head) const -> HttpHeaders;
    auto emit(EventNumber number, std::map<std::string, std::string> attributes) -> void;

    ForwardContext &context_;
    RoutedRequest routed_;
    std::shared_ptr<HttpReply> reply_;
    FinishedCallback onFinished_;
    MonotonicTime arrivedAt_;
    MonotonicTime deadline_;

    RankedMutex mutex_;
    ForwardStateMachine stateMachine_;
    /// By the number of the attempt.
    std::map<std::uint32_t, Call> calls_;
    std::shared_ptr<Timer> deadlineTimer_;
    bool isDone_ = false;
    /// When the first event of the stream was delivered; nothing before that.
    std::optional<MonotonicTime> streamSince_;
    /// Whether CrashWatch knows that the request was served.
    bool isServedRecorded_ = false;
};

} // namespace lycheereach
