/// \file
/// \brief What happens to a request; the input of RequestMachine.
#pragma once

#include "base/Failure.h"
#include "base/Ids.h"
#include "requests/AnswerHead.h"
#include "requests/RequestTarget.h"
#include "requests/SuspicionRuling.h"
#include "state/StateMachine.h"

#include <string>
#include <variant>

namespace lycheereach::request_event {

/// The caller's request is there.
struct Start
{ };

/// Answer to TakePermit.
struct PermitGranted
{
    RequestTarget target_;
    /// The end of the right to start.
    MonotonicTime validUntil_;
};

/// Answer to TakePermit: no place, the queue was full, or the request was shed.
struct PermitRefused
{
    Failure failure_;
};

/// Answer to CommitClaim.
struct ClaimAnswered
{
    CommandOutcome outcome_;
};

/// Answer to CommitClaim: whether the claim was committed is not known.
struct ClaimFailed
{
    Failure failure_;
};

/// Answer to SettleClaim, also when it failed.
struct ClaimSettled
{ };

/// Status and headers of an attempt's answer.
struct AttemptHead
{
    AttemptId attempt_;
    AnswerHead head_;
};

/// Bytes of an attempt's answer.
struct AttemptPart
{
    AttemptId attempt_;
    std::string bytes_;
};

/// The end of an attempt's connection, also after CancelAttempt.
struct AttemptEnded
{
    AttemptId attempt_;
    /// Empty when the whole answer arrived.
    std::error_code error_;
    /// NotRun when no byte of the request left.
    Verdict verdict_ = Verdict::NotRun;
    std::string message_;
    /// Whether the upstream said that it no longer runs the attempt.
    bool stopped_ = false;
};

/// Answer to Probe.
struct ProbeAnswered
{
    /// Whether the upstream answered over a new connection under the same incarnation.
    bool alive_ = false;
};

/// Answer to ReportSuspect, after every entry knows of the suspicion.
struct SuspicionShared
{
    SuspicionRuling ruling_ = SuspicionRuling::Clear;
};

/// The caller closed its connection.
struct CallerGone
{ };

/// The timer of ArmTimer.
struct DeadlinePassed
{ };

/// The entry stops; requests that have started go on.
struct Draining
{ };

} // namespace lycheereach::request_event

namespace lycheereach {

/// One input of RequestMachine.
using RequestEvent = std::variant<
    request_event::Start, request_event::PermitGranted, request_event::PermitRefused,
    request_event::ClaimAnswered, request_event::ClaimFailed, request_event::ClaimSettled,
    request_event::AttemptHead, request_event::AttemptPart, request_event::AttemptEnded,
    request_event::ProbeAnswered, request_event::SuspicionShared, request_event::CallerGone,
    request_event::DeadlinePassed, request_event::Draining>;

} // namespace lycheereach
