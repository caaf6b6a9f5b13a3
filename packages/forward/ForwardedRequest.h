/// \file
/// \brief Carries out the actions of one forwarded request's ForwardMachine.
#pragma once

#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/ForwardContext.h"
#include "forward/ForwardStateMachine.h"
#include "forward/RoutedRequest.h"
#include "transport/HttpCall.h"

#include <functional>
#include <memory>
#include <optional>

namespace lycheereach {

class HttpReply;
class Timer;

/// One forwarded request in progress. Events come from any thread and are handled one at a time
/// under a lock of rank LockRank::Requests; what an action answers at once is handled in the same
/// turn.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    /// Told when the caller has its answer and no attempt is open.
    using FinishedCallback = std::function<void(const ForwardedRequest *)>;

    ForwardedRequest(ForwardContext &context, RoutedRequest routed,
                     std::shared_ptr<HttpReply> reply, FinishedCallback onFinished);
    ~ForwardedRequest();
    ForwardedRequest(const ForwardedRequest &) = delete;
    auto operator=(const ForwardedRequest &) -> ForwardedRequest & = delete;

    /// Begins.
    auto start() -> void;
    /// \a target stands still: a stream that it runs goes on elsewhere.
    auto targetStalled(const ForwardTarget &target) -> void;
    /// Takes an event.
    auto post(const ForwardEvent &event) -> void;

private:
    auto handle(const ForwardEvent &event) -> void;
    auto perform(const forward_action::ChooseTarget &action) -> void;
    auto perform(const forward_action::StartAttempt &action) -> void;
    auto perform(const forward_action::CancelAttempt &action) -> void;
    auto perform(const forward_action::ReleaseTarget &action) -> void;
    auto perform(const forward_action::BeginStream &action) -> void;
    auto perform(const forward_action::SendEvents &action) -> void;
    auto perform(const forward_action::EndStream &action) -> void;
    auto perform(const forward_action::SendResponse &action) -> void;
    auto perform(const forward_action::SendRefusal &action) -> void;
    auto perform(const forward_action::AbortResponse &action) -> void;
    [[nodiscard]] auto hooksFor(std::uint32_t attempt, const ForwardTarget &target)
        -> HttpCallHooks;
    /// Whole events have come.
    auto handleProgress() -> void;
    /// Ends an attempt whose stream goes on sending bytes and no whole event.
    auto cancelIfNoWholeEvent() -> void;
    [[nodiscard]] auto responseHeaders(const ForwardHead &head) const -> HttpHeaders;
    auto emit(EventNumber number, std::map<std::string, std::string> attributes) -> void;

    ForwardContext &context_;
    RoutedRequest routed_;
    std::shared_ptr<HttpReply> reply_;
    FinishedCallback onFinished_;
    MonotonicTime arrivedAt_;
    MonotonicTime deadline_;

    RankedMutex mutex_;
    ForwardStateMachine stateMachine_;
    ForwardTarget target_;
    /// When the attempt began or last gave whole events.
    MonotonicTime progressAt_;
    std::optional<std::uint64_t> callId_;
    std::shared_ptr<Timer> deadlineTimer_;
    bool isDone_ = false;
};

} // namespace lycheereach
