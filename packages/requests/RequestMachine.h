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
/// passes, so that its outcome is known. Until its claim is answered an earlier request with the
/// same key may have run, so that errors before then say Verdict::MayHaveRun.
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
    using StartAttempt = request_action::StartAttempt;

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
        /// Whether the upstream refused without running the request.
        bool refused_ = false;
        std::uint16_t status_ = 0;
        std::string contentType_;
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
    /// Starts with the permit at hand, or takes another when it has run out.
    auto startAttempt() -> void;
    /// Goes on with the broken stream at the same target under the same permit.
    auto resumeAttempt() -> void;
    auto openAttempt(const RequestTarget &target, MonotonicTime validUntil) -> StartAttempt;
    auto returnPermit(PermitUse use) -> void;
    auto cancelAttempt() -> void;
    auto deliver(const std::string &bytes) -> void;
    [[nodiscard]] auto isCurrent(const AttemptId &attempt) const -> bool;
    /// Why the ended attempt has no whole answer; nothing when it has one.
    auto failureOf(const request_event::AttemptEnded &event) -> std::optional<Failure>;
    auto attemptSucceeded() -> void;
    auto attemptFailed(const request_event::AttemptEnded &event, Failure failure) -> void;
    /// Tries again or gives up, when the attempt's target has been dealt with.
    auto afterFailure() -> void;
    [[nodiscard]] auto mayRetry() const -> bool;
    /// Whether the caller of a broken stream has everything but the end mark.
    [[nodiscard]] auto lacksOnlyEnd() const -> bool;
    /// Ends the caller's stream in place of the upstream.
    auto endStream() -> void;
    [[nodiscard]] auto canResume() const -> bool;
    [[nodiscard]] auto claimsFirst() const -> bool;
    /// Answers from a claim that another request made.
    auto answerFromClaim(const Claim &claim) -> void;
    auto settle(ClaimPhase phase, std::optional<StoredAnswer> answer) -> void;
    /// Ends work that is only for the caller.
    auto stopWork() -> void;
    /// Gives the caller \a last: at once, or when the claim is settled.
    auto conclude(RequestAction last) -> void;
    auto reply(const RequestAction &last) -> void;
    /// Concludes with an error.
    auto fail(Failure failure) -> void;
    [[nodiscard]] auto errorFor(Failure failure) const -> RequestAction;

    RequestPlan plan_;
    RequestHooks hooks_;
    MonotonicTime now_;
    Actions actions_;

    Verdict verdict_ = Verdict::NotRun;
    ClaimState claim_ = ClaimState::None;
    MonotonicTime claimValidUntil_;
    /// The permit of an attempt that has not started.
    std::optional<request_event::PermitGranted> permit_;
    std::optional<Attempt> attempt_;
    /// How far the caller's stream has come.
    StreamProgress progress_;
    /// Of the last attempt.
    Failure failure_;
    /// What the caller gets when the claim is settled.
    std::optional<RequestAction> last_;
    std::set<std::string> avoid_;
    std::uint32_t attempts_ = 0;
    bool awaitsPermit_ = false;
    bool awaitsProbe_ = false;
    bool awaitsRuling_ = false;
    bool suspect_ = false;
    bool headSent_ = false;
    /// Whether the caller has its answer or error, or is gone.
    bool replied_ = false;
    bool draining_ = false;
};

} // namespace lycheereach
