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
/// last event delivered, with the status and headers of its first attempt. While an upstream is
/// silent, a second attempt may run beside the first: the one that delivers events first continues
/// the stream and the other is cancelled, so that a silent upstream that goes on loses nothing. A
/// response with the id of another request, or a successful one without its upstream's signature,
/// is never forwarded.
class ForwardStateMachine
{
public:
    /// \a tryTakeRetry takes one retry from the retry budget; false when it is spent. \a mayCrash
    /// tells whether the request may be what crashed an upstream that broke off; such a request is
    /// not sent to another one. Without it no request may.
    explicit ForwardStateMachine(ForwardPlan plan, std::function<bool()> tryTakeRetry,
                                 std::function<bool()> mayCrash = nullptr);

    /// Handles \a event, which occurred at \a now; returns actions to carry out in order.
    auto handle(const ForwardEvent &event, MonotonicTime now) -> std::vector<ForwardAction>;
    /// Whether the caller needs nothing more and no attempt is open.
    [[nodiscard]] auto isFinished() const -> bool { return replied_ && !attempt_ && !other_; }
    /// Whether the upstream of the open attempt that \a event ends broke off a stream, as a crash
    /// does: the connection broke, or the end of an answer that is not delimited came within an
    /// event or before the first.
    [[nodiscard]] auto isBrokenOff(const forward_event::AttemptEnded &event) const -> bool;
    /// The bytes of the response to \a attempt that are held until more arrive.
    [[nodiscard]] auto heldBytes(std::uint32_t attempt) const -> std::size_t;
    /// Whether TargetStalled would start another attempt beside the one that runs at \a target,
    /// apart from the retry budget.
    [[nodiscard]] auto mayMoveFrom(const ForwardTarget &target) const -> bool;

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
    auto on(const forward_event::EntryStops &event) -> void;

    /// An attempt whose connection is open.
    struct Attempt
    {
        /// Numbered from 1 within the request.
        std::uint32_t number_ = 0;
        ForwardTarget target_;
        EventStreamReader reader_;
        bool isCancelled_ = false;
        bool hasDelivered_ = false;
        /// Whether the whole response has arrived.
        bool isWhole_ = false;
        /// Whether a length or chunks show where the response ends.
        bool isDelimited_ = false;
        /// Whether the upstream ended the connection after the request was sent.
        bool isBroken_ = false;
        /// What a failure of the attempt shows about its target.
        TargetOutcome failureOutcome_ = TargetOutcome::Failed;
        /// Status and headers of the response, and the body unless it is a stream.
        std::optional<ForwardResponseHead> head_;
        std::string body_;
        /// Why the response can't be forwarded; empty when it can.
        std::string rejectReason_;

        /// Whether the response is a successful stream.
        [[nodiscard]] auto isStreaming(RouteKind kind) const -> bool;
    };

    auto emit(ForwardAction action) -> void { actions_.push_back(std::move(action)); }
    auto startAttempt(const ForwardTarget &target) -> void;
    /// Number of attempts that may have reached an upstream.
    [[nodiscard]] auto attemptsSent() const -> std::uint32_t;
    /// The open attempt with \a number; null when there is none.
    auto find(std::uint32_t number) -> Attempt *;
    template <typename Machine>
    static auto findIn(Machine &machine, std::uint32_t number) -> decltype(&*machine.attempt_);
    /// Removes the open attempt \a ended; the other one, if it is open, takes its place.
    auto take(const Attempt &ended) -> Attempt;
    /// Sends \a events of \a source to the caller, and cancels the other attempt if there is one.
    auto deliver(Attempt &source, std::string events) -> void;
    /// Why the ended attempt has no response to forward; empty when it has one.
    auto failureOf(const Attempt &attempt, const forward_event::AttemptEnded &event) const
        -> std::string;
    /// Whether the stream, whose last event was delivered by an earlier attempt, is complete.
    [[nodiscard]] auto isStreamComplete(const forward_event::AttemptEnded &event) const -> bool;
    auto attemptSucceeded(Attempt attempt) -> void;
    /// \a verdict tells whether the attempt may have run.
    auto attemptFailed(Attempt attempt, const std::string &failure, Verdict verdict) -> void;
    /// Whether another attempt is allowed after one that ended with \a verdict, apart from the
    /// retry budget.
    [[nodiscard]] auto mayRetry(Verdict verdict) const -> bool;
    /// Whether the upstream of \a attempt may have crashed because of this request.
    [[nodiscard]] auto mayHaveCrashedIts(const Attempt &attempt) const -> bool;
    /// Whether the route and the events delivered so far permit sending the request again.
    [[nodiscard]] auto isRetrySafe(Verdict verdict) const -> bool;
    auto refuse(std::uint16_t status, std::string reason, std::optional<Duration> retryAfter)
        -> void;
    /// Cancels \a attempt, whose response is not forwarded for \a reason.
    auto reject(Attempt &attempt, std::string reason) -> void;
    auto cancel(Attempt &attempt) -> void;
    auto cancelAll() -> void;
    /// Breaks the stream off, or refuses the request with \a statusIfRun when it may have run, for
    /// \a reason; cancels all attempts.
    auto giveUp(std::uint16_t statusIfRun, const std::string &reason) -> void;
    /// Whether an attempt is open, beside one that has ended, and not cancelled.
    [[nodiscard]] auto hasOtherAttempt() const -> bool
    {
        return attempt_ && !attempt_->isCancelled_;
    }

    ForwardPlan plan_;
    std::function<bool()> tryTakeRetry_;
    std::function<bool()> mayCrash_;
    MonotonicTime now_;
    std::vector<ForwardAction> actions_;

    std::uint32_t attempts_ = 0;
    /// Attempts of which no byte was sent, and those of them that failed to connect.
    std::uint32_t unsentAttempts_ = 0;
    std::uint32_t unconnectedAttempts_ = 0;
    std::optional<Attempt> attempt_;
    /// The second open attempt: an earlier one at a silent upstream, or one that was cancelled
    /// because attempt_ continues the stream.
    std::optional<Attempt> other_;
    /// An ended attempt with a whole answer that is no stream; sent if the open one fails.
    std::optional<Attempt> reserve_;
    /// Id of the last event that the caller has received; nothing before the first.
    std::optional<std::uint64_t> lastEventId_;
    /// When the first event was delivered.
    std::optional<MonotonicTime> streamSince_;
    /// Whether an event without an id was delivered, so that the stream can't be resumed.
    bool hasEventWithoutId_ = false;
    /// Whether an attempt ended within an event of which the caller has received nothing since, so
    /// that the stream goes on behind lastEventId_.
    bool isCutWithinEvent_ = false;
    std::set<UpstreamId> avoid_;
    /// Combined over all failed attempts.
    Verdict verdict_ = Verdict::NotRun;
    bool headSent_ = false;
    /// Whether the caller has its response or refusal, or has disconnected.
    bool replied_ = false;
};

} // namespace lycheereach
