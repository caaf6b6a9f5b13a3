/// \file
/// \brief State machine of one forwarded request, from its arrival to the response or refusal.
#pragma once

#include "base/Time.h"
#include "base/Verdict.h"
#include "forward/EventStreamReader.h"
#include "forward/ForwardAction.h"
#include "forward/ForwardEvent.h"
#include "forward/ForwardPlan.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Decides which attempts are made at one forwarded request and what is sent to the caller. Takes
/// events, returns actions and does no I/O. Not thread-safe.
///
/// A request of an unsafe route is retried only when no attempt can have run. The caller receives
/// only complete events of a stream; a resumable stream continues at another upstream after the
/// last event delivered, with the status and headers of its first attempt. A response with the id
/// of another request, or a successful one without its upstream's signature, is never forwarded.
class ForwardStateMachine
{
public:
    /// \a tryTakeRetry takes one retry from the retry budget; false when it is spent.
    ForwardStateMachine(ForwardPlan plan, std::function<bool()> tryTakeRetry);

    /// Handles \a event, which occurred at \a now; returns actions to carry out in order.
    auto handle(const ForwardEvent &event, MonotonicTime now) -> std::vector<ForwardAction>;
    /// Whether the caller needs nothing more and no attempt is open.
    [[nodiscard]] auto isFinished() const -> bool { return replied_ && !isAttemptOpen_; }

private:
    auto on(const forward_event::Start &event) -> void;
    auto on(const forward_event::TargetChosen &event) -> void;
    auto on(const forward_event::NoTargetAvailable &event) -> void;
    auto on(const forward_event::ResponseHeadReceived &event) -> void;
    auto on(const forward_event::AttemptData &event) -> void;
    auto on(const forward_event::AttemptEnded &event) -> void;
    auto on(const forward_event::TargetStalled &event) -> void;
    auto on(const forward_event::CallerDisconnected &event) -> void;
    auto on(const forward_event::DeadlinePassed &event) -> void;

    auto emit(ForwardAction action) -> void { actions_.push_back(std::move(action)); }
    /// Number of attempts that may have reached an upstream.
    [[nodiscard]] auto attemptsSent() const -> std::uint32_t;
    [[nodiscard]] auto isStreaming() const -> bool;
    [[nodiscard]] auto isCurrent(std::uint32_t attempt) const -> bool;
    /// Why the ended attempt has no response to forward; empty when it has one.
    auto failureOf(const forward_event::AttemptEnded &event) const -> std::string;
    auto attemptSucceeded() -> void;
    auto attemptFailed(const std::string &failure, Verdict verdict) -> void;
    /// Whether another attempt is allowed after one that ended with \a verdict, apart from the
    /// retry budget.
    [[nodiscard]] auto mayRetry(Verdict verdict) const -> bool;
    /// Whether the route and the events delivered so far permit sending the request again.
    [[nodiscard]] auto isRetrySafe(Verdict verdict) const -> bool;
    auto refuse(std::uint16_t status, std::string reason, std::optional<Duration> retryAfter)
        -> void;
    auto rejectResponse(std::string rejectReason) -> void;
    auto cancelAttempt() -> void;

    ForwardPlan plan_;
    std::function<bool()> tryTakeRetry_;
    MonotonicTime now_;
    std::vector<ForwardAction> actions_;

    std::uint32_t attempts_ = 0;
    /// Attempts that established no connection.
    std::uint32_t unconnectedAttempts_ = 0;
    /// What the last failed attempt showed about its target.
    TargetOutcome targetOutcome_ = TargetOutcome::Responded;
    ForwardTarget target_;
    /// Whether the connection of the current attempt is open.
    bool isAttemptOpen_ = false;
    bool isAttemptCancelled_ = false;
    /// Whether a retry was taken from the budget and is not used yet.
    bool hasReservedRetry_ = false;
    /// Response of the current attempt: status and headers, and the body unless it is a stream.
    std::optional<ForwardResponseHead> head_;
    std::string body_;
    /// Why the response of the current attempt can't be forwarded; empty when it can.
    std::string rejectReason_;
    EventStreamReader reader_;
    std::set<UpstreamId> avoid_;
    /// Combined over all failed attempts.
    Verdict verdict_ = Verdict::NotRun;
    bool headSent_ = false;
    /// Whether the caller has its response or refusal, or has disconnected.
    bool replied_ = false;
};

} // namespace lycheereach
