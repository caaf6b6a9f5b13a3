/// \file
/// \brief Actions to carry out for a forwarded request; the output of ForwardStateMachine.
#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"
#include "forward/ForwardRefusal.h"
#include "forward/ForwardResponseHead.h"
#include "forward/ForwardTarget.h"
#include "forward/TargetOutcome.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace lycheereach::forward_action {

/// Choose an upstream; answered by the event TargetChosen or NoTargetAvailable.
struct ChooseTarget
{
    /// Upstreams that already failed this request; chosen only when there is no other.
    std::set<UpstreamId> avoid_;
};

/// Send the request to the chosen upstream.
struct StartAttempt
{
    /// Numbered from 1 within the request.
    std::uint32_t attempt_ = 0;
    ForwardTarget target_;
    /// Id of the event after which the upstream continues the stream; nothing for a new stream.
    std::optional<std::uint64_t> lastEventId_;
};

/// Close the attempt's connection; AttemptEnded follows.
struct CancelAttempt
{
    std::uint32_t attempt_ = 0;
};

/// Release the target reserved by ChooseTarget: its attempt has ended or is no longer needed.
struct ReleaseTarget
{
    ForwardTarget target_;
    /// Why the attempt failed; empty when it succeeded.
    std::string failure_;
    Verdict verdict_ = Verdict::Ran;
    TargetOutcome outcome_ = TargetOutcome::Responded;
};

/// Begin the streamed response to the caller with its first events.
struct BeginStream
{
    std::uint32_t attempt_ = 0;
    ForwardResponseHead head_;
    std::string events_;
};

/// Send further complete events of the stream to the caller.
struct SendEvents
{
    std::uint32_t attempt_ = 0;
    std::string events_;
};

/// Record that the caller gets a successful answer of the upstream; ahead of its end.
struct RecordSuccess
{
    ForwardTarget target_;
    /// Whether a length or chunks show that the answer is whole. A crash may have ended it else.
    bool isDelimited_ = false;
};

/// End the streamed response normally.
struct EndStream
{ };

/// Send the complete response of an upstream to the caller.
struct SendResponse
{
    ForwardResponseHead head_;
    std::string body_;
};

/// Tell the caller that there is no response of an upstream.
struct SendRefusal
{
    ForwardRefusal refusal_;
    Verdict verdict_ = Verdict::NotRun;
};

/// Close the caller's connection without ending the stream, so that it does not look complete.
struct AbortResponse
{
    std::string reason_;
};

} // namespace lycheereach::forward_action

namespace lycheereach {

/// One output of ForwardStateMachine.
using ForwardAction = std::variant<
    forward_action::ChooseTarget, forward_action::StartAttempt, forward_action::CancelAttempt,
    forward_action::ReleaseTarget, forward_action::BeginStream, forward_action::SendEvents,
    forward_action::RecordSuccess, forward_action::EndStream, forward_action::SendResponse,
    forward_action::SendRefusal, forward_action::AbortResponse>;

} // namespace lycheereach
