/// \file
/// \brief The life of one forwarded request, from its arrival to its whole answer or its refusal.
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

/// Decides the attempts at one forwarded request and what the caller gets. Pure: events go in,
/// actions come out. Not thread-safe.
///
/// A request that may not be repeated is sent again only when no attempt at it can have run. Of a
/// stream the caller gets whole events only; a resumable one goes on at another upstream behind the
/// last event delivered, under the head of its first run. An answer with another request's id or
/// without the signature of its upstream is not handed on.
class ForwardStateMachine
{
public:
    /// \a takeRetry takes one retry from the budget that entries share; false when it is spent.
    ForwardStateMachine(ForwardPlan plan, std::function<bool()> takeRetry);

    /// Takes \a event at \a now; the actions are to be done in their order.
    auto handle(const ForwardEvent &event, MonotonicTime now) -> std::vector<ForwardAction>;
    /// Whether the caller has its answer and no attempt is open.
    [[nodiscard]] auto isFinished() const -> bool { return replied_ && !isAttemptOpen_; }

private:
    auto on(const forward_event::Start &event) -> void;
    auto on(const forward_event::TargetChosen &event) -> void;
    auto on(const forward_event::NoTargetAvailable &event) -> void;
    auto on(const forward_event::AttemptHead &event) -> void;
    auto on(const forward_event::AttemptData &event) -> void;
    auto on(const forward_event::AttemptEnded &event) -> void;
    auto on(const forward_event::TargetStalled &event) -> void;
    auto on(const forward_event::CallerDisconnected &event) -> void;
    auto on(const forward_event::DeadlinePassed &event) -> void;

    auto emit(ForwardAction action) -> void { actions_.push_back(std::move(action)); }
    /// Attempts that may have reached an upstream.
    [[nodiscard]] auto attemptsSent() const -> std::uint32_t;
    [[nodiscard]] auto isStreaming() const -> bool;
    [[nodiscard]] auto isCurrent(std::uint32_t attempt) const -> bool;
    /// Why the ended attempt has no answer to hand on; empty when it has one.
    auto failureOf(const forward_event::AttemptEnded &event) const -> std::string;
    auto attemptSucceeded() -> void;
    auto attemptFailed(const std::string &failure, Verdict verdict) -> void;
    /// Whether a further attempt is allowed after one that ends with \a verdict, but for the
    /// budget.
    [[nodiscard]] auto mayRetry(Verdict verdict) const -> bool;
    [[nodiscard]] auto isRetrySafe(Verdict verdict) const -> bool;
    auto refuse(std::uint16_t status, std::string reason, std::optional<Duration> retryAfter)
        -> void;
    auto rejectResponse(std::string rejectReason) -> void;
    auto cancelAttempt() -> void;

    ForwardPlan plan_;
    std::function<bool()> takeRetry_;
    MonotonicTime now_;
    std::vector<ForwardAction> actions_;

    std::uint32_t attempts_ = 0;
    /// Attempts that found no connection.
    std::uint32_t unconnectedAttempts_ = 0;
    /// What the last failed attempt showed of its target.
    TargetOutcome targetOutcome_ = TargetOutcome::Responded;
    ForwardTarget target_;
    /// Whether the attempt's connection is open.
    bool isAttemptOpen_ = false;
    bool isAttemptCancelled_ = false;
    /// Whether the budget has given a retry that was not used yet.
    bool hasReservedRetry_ = false;
    std::optional<ForwardHead> head_;
    std::string body_;
    /// Why the answer of the attempt can't be handed on.
    std::string rejectReason_;
    EventStreamReader reader_;
    std::set<UpstreamId> avoid_;
    Verdict verdict_ = Verdict::NotRun;
    bool headSent_ = false;
    /// Whether the caller has its answer or refusal, or is gone.
    bool replied_ = false;
};

} // namespace lycheereach
