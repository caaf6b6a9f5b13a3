/// \file
/// \brief The events that RequestMachine handles.
#pragma once

#include "base/Failure.h"
#include "base/Ids.h"
#include "requests/RequestTarget.h"
#include "requests/ResponseHead.h"
#include "requests/SuspicionStatus.h"
#include "state/StateMachine.h"

#include <string>
#include <variant>

namespace lycheereach::request_event {

/// The request arrived from the caller.
struct Start
{ };

/// Answer to TakePermit.
struct PermitGranted
{
    RequestTarget target_;
    /// An attempt under this permit must start before this time.
    MonotonicTime validUntil_;
    /// The ruling on the request now; it may have changed while the request waited.
    SuspicionStatus ruling_ = SuspicionStatus::Clear;
};

/// Answer to TakePermit: no permit is granted, and failure_ tells why.
struct PermitRefused
{
    Failure failure_;
};

/// Answer to CommitClaim.
struct ClaimAnswered
{
    CommandOutcome outcome_;
};

/// Answer to CommitClaim: it is unknown whether the claim was committed.
struct ClaimFailed
{
    Failure failure_;
};

/// Answer to SettleClaim, whether the commit succeeded or failed.
struct ClaimSettled
{ };

/// Status and headers of the response to an attempt.
struct ResponseHeadReceived
{
    AttemptId attempt_;
    ResponseHead head_;
};

/// Body bytes of the response to an attempt.
struct ResponseDataReceived
{
    AttemptId attempt_;
    std::string bytes_;
};

/// Nothing has come from the upstream of an attempt for as long as the policy allows; the attempt
/// goes on.
struct ResponseSilent
{
    AttemptId attempt_;
};

/// The connection of an attempt ended, also after CancelAttempt.
struct AttemptEnded
{
    AttemptId attempt_;
    /// Not set when the response arrived completely.
    std::error_code error_;
    /// NotRun when no byte of the request was sent.
    Verdict verdict_ = Verdict::NotRun;
    std::string message_;
    /// Whether the upstream confirmed that it no longer runs the attempt.
    bool stopped_ = false;
};

/// Answer to Probe.
struct ProbeFinished
{
    /// Whether the upstream answered over a new connection under the same incarnation.
    bool alive_ = false;
};

/// Answer to ReportCrash, after every entry received the report.
struct CrashReported
{
    SuspicionStatus ruling_ = SuspicionStatus::Clear;
};

/// The caller closed its connection.
struct CallerDisconnected
{ };

/// The time of StartTimer was reached.
struct DeadlinePassed
{ };

/// The entry is shutting down; requests that have started continue.
struct ShutdownStarted
{ };

} // namespace lycheereach::request_event

namespace lycheereach {

/// One event that RequestMachine handles.
using RequestEvent
    = std::variant<request_event::Start, request_event::PermitGranted, request_event::PermitRefused,
                   request_event::ClaimAnswered, request_event::ClaimFailed,
                   request_event::ClaimSettled, request_event::ResponseHeadReceived,
                   request_event::ResponseDataReceived, request_event::ResponseSilent,
                   request_event::AttemptEnded, request_event::ProbeFinished,
                   request_event::CrashReported, request_event::CallerDisconnected,
                   request_event::DeadlinePassed, request_event::ShutdownStarted>;

} // namespace lycheereach
