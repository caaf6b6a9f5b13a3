/// \file
/// \brief State machine of one request, from its arrival to its complete response or error.
#pragma once

#include "base/Failure.h"
#include "requests/RequestAction.h"
#include "requests/RequestCallbacks.h"
#include "requests/RequestEvent.h"
#include "requests/RequestProperties.h"
#include "requests/ResponseAssembler.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Decides which attempts are made at one request and what the caller receives. It does no I/O and
/// reads no clock: handle() takes an event and returns actions. Not thread-safe.
///
/// A repeatable request is retried within the attempt limit, the retry budget and the deadline.
/// A request that is not repeatable takes a permit, then commits its claim, and is dispatched only
/// then; it is dispatched again only when its last attempt is known not to have run. The outcome of
/// its claim is committed before the caller receives it. Such a request continues when the caller
/// disconnects or the deadline passes, so that its outcome becomes known. Before its claim is
/// answered an earlier request with the same key may have run; errors until then have
/// Verdict::MayHaveRun.
class RequestMachine
{
public:
    RequestMachine(RequestProperties properties, RequestCallbacks callbacks);

    /// Handles \a event at \a now. The caller must perform the returned actions in their order.
    auto handle(const RequestEvent &event, MonotonicTime now) -> std::vector<RequestAction>;

    /// Whether the bytes of \a attempt may still be sent. Call it immediately before sending; if
    /// it returns false, pass AttemptEnded with Error::LeaseExpired and Verdict::NotRun to
    /// handle().
    [[nodiscard]] auto mayDispatch(const AttemptId &attempt, MonotonicTime now) const -> bool;
    /// Whether the caller has its response or error, or is gone, and no answer to an action is
    /// pending.
    [[nodiscard]] auto finished() const -> bool;
    /// Whether the request has run, as far as is known.
    [[nodiscard]] auto verdict() const -> Verdict;

private:
    using Actions = std::vector<RequestAction>;
    using StartAttempt = request_action::StartAttempt;

    /// Progress of committing the claim and its outcome.
    enum class ClaimState {
        None,
        Requested,
        /// The claim is committed; this request may be dispatched.
        Held,
        /// The commit of the outcome is pending.
        Settling,
        Settled,
    };

    struct Attempt
    {
        AttemptId id_;
        RequestTarget target_;
        /// The attempt must be dispatched before this time.
        MonotonicTime validUntil_;
        ResponseAssembler assembler_;
        /// Whether the connection is open.
        bool open_ = true;
        bool cancelled_ = false;
        /// Whether the upstream refused the request without running it.
        bool refused_ = false;
        std::uint16_t status_ = 0;
        std::string contentType_;
        /// When the first bytes of the response arrived.
        std::optional<MonotonicTime> streamSince_;
        bool partsCleared_ = false;
    };

    auto on(const request_event::Start &event) -> void;
    auto on(const request_event::PermitGranted &event) -> void;
    auto on(const request_event::PermitRefused &event) -> void;
    auto on(const request_event::ClaimAnswered &event) -> void;
    auto on(const request_event::ClaimFailed &event) -> void;
    auto on(const request_event::ClaimSettled &event) -> void;
    auto on(const request_event::ResponseHeadReceived &event) -> void;
    auto on(const request_event::ResponseDataReceived &event) -> void;
    auto on(const request_event::ResponseSilent &event) -> void;
    auto on(const request_event::AttemptEnded &event) -> void;
    auto on(const request_event::ProbeFinished &event) -> void;
    auto on(const request_event::CrashReported &event) -> void;
    auto on(const request_event::CallerDisconnected &event) -> void;
    auto on(const request_event::DeadlinePassed &event) -> void;
    auto on(const request_event::ShutdownStarted &event) -> void;

    auto emit(RequestAction action) -> void;
    auto takePermit() -> void;
    /// Starts an attempt under permit_, or takes another permit when it has expired.
    auto startAttempt() -> void;
    /// Resumes the interrupted stream at the same target under the same permit.
    auto resumeAttempt() -> void;
    auto openAttempt(const RequestTarget &target, MonotonicTime validUntil) -> StartAttempt;
    auto returnPermit(PermitUse use) -> void;
    /// Returns the permit of a request that was found to crash upstreams while it waited.
    auto refuseBlocked() -> void;
    auto cancelAttempt() -> void;
    auto sendToCaller(const std::string &bytes) -> void;
    [[nodiscard]] auto isCurrent(const AttemptId &attempt) const -> bool;
    /// Why the ended attempt has no complete response; not set when it has one.
    auto failureOf(const request_event::AttemptEnded &event) -> std::optional<Failure>;
    auto attemptSucceeded() -> void;
    /// Clears what may be suspected of the request, since it was answered completely.
    auto clearSuspicion() -> void;
    /// Clears the parts of a prompt whose stream has gone on for long enough.
    auto clearPartsOfSoundStream() -> void;
    auto attemptFailed(const request_event::AttemptEnded &event, Failure failure) -> void;
    /// Retries the request or reports the last failure. Called after the permit was returned and a
    /// crash of the target was reported.
    auto retryOrGiveUp() -> void;
    [[nodiscard]] auto mayRetry() const -> bool;
    /// Takes a retry from the budget, or the one that is reserved.
    auto takeRetry() -> bool;
    /// Whether the caller of an interrupted stream has every token and lacks only its end.
    [[nodiscard]] auto lacksOnlyStreamEnd() const -> bool;
    /// Sends the end of the stream in place of the upstream.
    auto completeStream() -> void;
    [[nodiscard]] auto canResume() const -> bool;
    /// Whether a claim must be committed before the request is dispatched.
    [[nodiscard]] auto requiresClaim() const -> bool;
    /// Responds according to a claim that an earlier request with the same key made.
    auto answerFromClaim(const Claim &claim) -> void;
    auto settleClaim(ClaimPhase phase, std::optional<StoredAnswer> answer) -> void;
    /// Leaves the permit queue, and cancels the attempt of a repeatable request.
    auto cancelWorkForCaller() -> void;
    /// Replies with \a finalAction: now, or as soon as the claim is settled.
    auto replyWhenSettled(RequestAction finalAction) -> void;
    /// Emits \a finalAction unless the caller has a reply already or is gone.
    auto reply(const RequestAction &finalAction) -> void;
    auto replyWithError(Failure failure) -> void;
    [[nodiscard]] auto makeErrorReply(Failure failure) const -> RequestAction;

    RequestProperties properties_;
    RequestCallbacks callbacks_;
    MonotonicTime now_;
    Actions actions_;

    Verdict verdict_ = Verdict::NotRun;
    ClaimState claim_ = ClaimState::None;
    /// The claim allows dispatching the request until then.
    MonotonicTime claimValidUntil_;
    /// The permit of an attempt that has not been started.
    std::optional<request_event::PermitGranted> permit_;
    std::optional<Attempt> attempt_;
    /// How much of the stream the caller has.
    StreamProgress progress_;
    /// Why the last attempt failed.
    Failure lastFailure_;
    /// The reply that is sent when the claim is settled.
    std::optional<RequestAction> pendingReply_;
    /// Names of the targets that failed this request.
    std::set<std::string> failedTargets_;
    std::uint32_t attemptCount_ = 0;
    /// Whether a retry was taken from the budget and is not used yet.
    bool hasReservedRetry_ = false;
    bool awaitingPermit_ = false;
    bool awaitingProbe_ = false;
    bool awaitingRuling_ = false;
    /// Whether the request is suspected of crashing upstreams.
    bool suspect_ = false;
    bool headSent_ = false;
    /// Whether the caller has its response or error, or is gone.
    bool replied_ = false;
    /// Whether the entry is shutting down.
    bool draining_ = false;
};

} // namespace lycheereach
