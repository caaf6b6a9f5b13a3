/// \file
/// \brief The life of one request, from its arrival to its whole answer or its error.
#pragma once

#include "base/Failure.h"
#include "requests/RequestAction.h"
#include "requests/RequestEvent.h"
#include "requests/RequestHooks.h"
#include "requests/RequestPlan.h"
#include "requests/StreamAssembler.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Decides the attempts at one request and what the caller gets. Pure: events go in, actions come
/// out. Not thread-safe.
///
/// A repeatable request is tried again within the attempt limit, the retry budget and the deadline.
/// Another request takes a permit, then commits its claim, and only then is dispatched; it is
/// dispatched again only when its last attempt is known not to have run. The outcome of its claim
/// is committed before the caller hears of it. It runs on when the caller goes or the deadline
/// passes, so that its outcome is known.
class RequestMachine
{
public:
    RequestMachine(RequestPlan plan, RequestHooks hooks);

    /// Takes \a event at \a now; the actions are to be done in their order.
    auto handle(const RequestEvent &event, MonotonicTime now) -> std::vector<RequestAction>;

    /// Whether the bytes of \a attempt may still leave. To be asked right before they do; on false
    /// the caller feeds AttemptEnded with Error::LeaseExpired and Verdict::NotRun.
    [[nodiscard]] auto mayDispatch(const AttemptId &attempt, MonotonicTime now) const -> bool;
    /// Whether the caller has its answer or error and no action is under way.
    [[nodiscard]] auto finished() const -> bool;
    /// What is known so far about whether the request has run.
    [[nodiscard]] auto verdict() const -> Verdict;

private:
    using Actions = std::vector<RequestAction>;

    enum class ClaimState {
        None,
        Asked,
        Held,
        Settling,
        Settled,
    };

    struct Attempt
    {
        AttemptId id_;
        RequestTarget target_;
        MonotonicTime validUntil_;
        StreamAssembler assembler_;
        /// Whether the connection is open.
        bool open_ = true;
        bool cancelled_ = false;
        std::optional<AnswerHead> head_;
    };

    auto on(const request_event::Start &event) -> void;
    auto on(const request_event::PermitGranted &event) -> void;
    auto on(const request_event::PermitRefused &event) -> void;
    auto on(const request_event::ClaimAnswered &event) -> void;
    auto on(const request_event::ClaimFailed &event) -> void;
    auto on(const request_event::ClaimSettled &event) -> void;
    auto on(const request_event::AttemptHead &event) -> void;
    auto on(const request_event::AttemptPart &event) -> void;
    auto on(const request_event::AttemptEnded &event) -> void;
    auto on(const request_event::ProbeAnswered &event) -> void;
    auto on(const request_event::SuspicionShared &event) -> void;
    auto on(const request_event::CallerGone &event) -> void;
    auto on(const request_event::DeadlinePassed &event) -> void;
    auto on(const request_event::Draining &event) -> void;

    auto emit(RequestAction action) -> void;
    auto takePermit() -> void;
    auto startAttempt(const RequestTarget &target, MonotonicTime validUntil, bool resume) -> void;
    auto returnPermit(PermitUse use) -> void;
    auto cancelAttempt() -> void;
    /// The attempt's answer is whole.
    auto attemptSucceeded() -> void;
    /// The attempt's answer will not become whole.
    auto attemptFailed(Failure failure) -> void;
    /// Tries again or gives up.
    auto afterFailure(bool targetAlive) -> void;
    [[nodiscard]] auto mayRetry() -> bool;
    auto existingClaim(const CommandOutcome &outcome) -> void;
    auto settle(ClaimPhase phase, std::optional<StoredAnswer> answer) -> void;
    /// Ends the request for the caller: at once, or when the claim is settled.
    auto conclude(RequestAction last) -> void;
    auto reply(RequestAction last) -> void;
    auto fail(Failure failure) -> void;
    auto sendParts() -> void;

    RequestPlan plan_;
    RequestHooks hooks_;
    MonotonicTime now_;
    Actions actions_;

    Verdict verdict_ = Verdict::NotRun;
    ClaimState claim_ = ClaimState::None;
    MonotonicTime claimValidUntil_;
    std::optional<Attempt> attempt_;
    /// The tokens that the caller has, and how to go on with them.
    StreamProgress progress_;
    std::optional<Failure> failure_;
    std::optional<RequestAction> last_;
    std::set<std::string> exclude_;
    std::uint32_t attempts_ = 0;
    std::uint32_t attemptNumber_ = 0;
    bool awaitsPermit_ = false;
    bool awaitsProbe_ = false;
    bool awaitsRuling_ = false;
    bool suspect_ = false;
    bool headSent_ = false;
    bool replied_ = false;
    bool callerGone_ = false;
    bool draining_ = false;
};

} // namespace lycheereach
