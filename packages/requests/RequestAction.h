/// \file
/// \brief The actions that RequestMachine returns.
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
#include <vector>

namespace lycheereach::request_action {

/// Get a permit for one attempt, after waiting in the queue if there is none. Answered by
/// PermitGranted or PermitRefused.
struct TakePermit
{
    /// Names of targets that failed this request; use them only when there is no other.
    std::set<std::string> failedTargets_;
    /// Whether the target must run no other suspect request at the same time.
    bool withoutOtherSuspects_ = false;
};

/// Remove the request from the permit queue. TakePermit is still answered.
struct CancelPermitRequest
{ };

/// Commit a ClaimRequest with the key and digest of the request. Answered by ClaimAnswered or
/// ClaimFailed.
struct CommitClaim
{ };

/// Send the request, unless RequestMachine::mayDispatch() returns false immediately before its
/// bytes are written. Ends with AttemptEnded.
struct StartAttempt
{
    AttemptId attempt_;
    RequestTarget target_;
    /// Whether to open a new connection.
    bool freshConnection_ = false;
    /// The earlier attempt at this target whose stream to resume; empty for a new run.
    AttemptId resumeAttempt_;
    /// How many tokens of the resumed run the caller has.
    std::uint64_t resumeOffset_ = 0;
    /// The text and the number of tokens that the caller has already, for a new run to continue;
    /// see continuationBody().
    std::string deliveredText_;
    std::uint64_t deliveredTokens_ = 0;
    /// When the permit and the claim stop allowing a start; RequestMachine::mayDispatch() checks
    /// it.
    MonotonicTime validUntil_;
};

/// Close the attempt's connection and tell the upstream to stop it. Ends with AttemptEnded.
struct CancelAttempt
{
    AttemptId attempt_;
    RequestTarget target_;
};

/// Close the attempt's connection, whose upstream is silent. Ends with AttemptEnded and
/// Error::ConnectionSilent.
struct EndSilentAttempt
{
    AttemptId attempt_;
};

/// Commit the outcome of the claim. Answered by ClaimSettled.
struct SettleClaim
{
    lycheereach::SettleClaim command_;
};

/// Return the permit.
struct ReturnPermit
{
    RequestTarget target_;
    PermitUse use_ = PermitUse::Unused;
};

/// Check over a new connection whether the target is still up. Answered by ProbeFinished.
struct Probe
{
    RequestTarget target_;
};

/// Report to every entry that the request was in flight when the target crashed. Answered by
/// CrashReported.
struct ReportCrash
{
    RequestTarget target_;
    std::vector<std::string> fingerprints_;
};

/// Clear what may be suspected of the request, as it was answered completely or for long enough.
struct ClearSuspect
{
    RequestTarget target_;
    std::vector<std::string> fingerprints_;
};

/// Pass DeadlinePassed to the machine at this time.
struct StartTimer
{
    MonotonicTime at_;
};

/// Send a complete response that is no stream.
struct SendResponse
{
    StoredAnswer answer_;
    Verdict verdict_ = Verdict::Ran;
    /// Whether the response is stored from an earlier request with the same idempotency key.
    bool replayed_ = false;
};

/// Send status and headers of a streamed response.
struct StartStream
{
    std::uint16_t status_ = 200;
    std::string contentType_;
};

/// Send and flush one or more complete events of the stream.
struct SendStreamData
{
    std::string bytes_;
};

/// End the streamed response.
struct EndStream
{ };

/// Send an error response, or end a stream that has begun with an `error` event.
struct SendError
{
    ProblemDocument problem_;
    /// Whether the head of a stream was sent.
    bool inStream_ = false;
};

/// Record that a response was dropped because it belonged to another request.
struct RecordMismatchedResponse
{
    AttemptId attempt_;
    RequestTarget target_;
};

} // namespace lycheereach::request_action

namespace lycheereach {

/// One action that RequestMachine returns.
using RequestAction = std::variant<
    request_action::TakePermit, request_action::CancelPermitRequest, request_action::CommitClaim,
    request_action::StartAttempt, request_action::CancelAttempt, request_action::EndSilentAttempt,
    request_action::SettleClaim, request_action::ReturnPermit, request_action::Probe,
    request_action::ReportCrash, request_action::ClearSuspect, request_action::StartTimer,
    request_action::SendResponse, request_action::StartStream, request_action::SendStreamData,
    request_action::EndStream, request_action::SendError, request_action::RecordMismatchedResponse>;

} // namespace lycheereach
