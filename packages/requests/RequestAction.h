/// \file
/// \brief What is to be done for a request; the output of RequestMachine.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/PermitUse.h"
#include "requests/ProblemDocument.h"
#include "requests/RequestTarget.h"
#include "state/SettleClaim.h"
#include "state/StoredAnswer.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace lycheereach::request_action {

/// Get the right to start one attempt, waiting in the queue if need be.
struct TakePermit
{
    /// Names of targets that failed this request, to be taken only when there is no other.
    std::set<std::string> avoid_;
    /// Whether the target must run no other suspect.
    bool alone_ = false;
};

/// The permit is no longer wanted: leave the queue. TakePermit is still answered.
struct AbandonPermit
{ };

/// Commit a ClaimRequest with the key and digest of the plan.
struct CommitClaim
{ };

/// Send the request, unless RequestMachine::mayDispatch() says no right before the bytes leave.
struct StartAttempt
{
    AttemptId attempt_;
    RequestTarget target_;
    /// Whether to open a new connection.
    bool freshConnection_ = false;
    /// The earlier attempt at this target to go on with; empty for a new run.
    AttemptId resumeAttempt_;
    /// Tokens of the earlier attempt that the caller has.
    std::uint64_t resumeOffset_ = 0;
    /// What the caller has of the answer when a new run goes on with it; see continuedBody().
    std::string textSoFar_;
    std::uint64_t tokensSoFar_ = 0;
    /// The end of the right to start, as RequestMachine::mayDispatch() has it.
    MonotonicTime validUntil_;
};

/// Close the attempt's connection and tell the upstream to stop; ends with AttemptEnded.
struct CancelAttempt
{
    AttemptId attempt_;
    RequestTarget target_;
};

/// Commit the outcome of the claim; answered with ClaimSettled.
struct SettleClaim
{
    lycheereach::SettleClaim command_;
};

/// Give the permit back.
struct ReturnPermit
{
    RequestTarget target_;
    PermitUse use_ = PermitUse::Unused;
};

/// Ask the target over a new connection whether it lives.
struct Probe
{
    RequestTarget target_;
};

/// Tell every entry that the request was in flight when the target crashed.
struct ReportSuspect
{
    RequestTarget target_;
    std::string fingerprint_;
};

/// Tell the suspicion table that the request was served whole.
struct ClearSuspect
{
    RequestTarget target_;
    std::string fingerprint_;
};

/// Feed DeadlinePassed at this time.
struct ArmTimer
{
    MonotonicTime at_;
};

/// Send a whole answer.
struct SendAnswer
{
    StoredAnswer answer_;
    Verdict verdict_ = Verdict::Ran;
    /// Whether the answer is of an earlier request with the key.
    bool replayed_ = false;
};

/// Begin a stream.
struct SendHead
{
    std::uint16_t status_ = 200;
    std::string contentType_;
};

/// Send and flush whole events of the stream.
struct SendPart
{
    std::string bytes_;
};

/// End the stream.
struct SendEnd
{ };

/// Send an error, or end a begun stream with an `error` event.
struct SendError
{
    ProblemDocument problem_;
    bool inStream_ = false;
};

/// Note that an answer of another request was dropped.
struct NoteWrongAnswer
{
    AttemptId attempt_;
    RequestTarget target_;
};

} // namespace lycheereach::request_action

namespace lycheereach {

/// One output of RequestMachine.
using RequestAction = std::variant<
    request_action::TakePermit, request_action::AbandonPermit, request_action::CommitClaim,
    request_action::StartAttempt, request_action::CancelAttempt, request_action::SettleClaim,
    request_action::ReturnPermit, request_action::Probe, request_action::ReportSuspect,
    request_action::ClearSuspect, request_action::ArmTimer, request_action::SendAnswer,
    request_action::SendHead, request_action::SendPart, request_action::SendEnd,
    request_action::SendError, request_action::NoteWrongAnswer>;

} // namespace lycheereach
