/// \file
/// \brief What is to be done for a forwarded request; the output of ForwardMachine.
#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"
#include "forward/ForwardHead.h"
#include "forward/ForwardRefusal.h"
#include "forward/ForwardTarget.h"
#include "forward/TargetOutcome.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace lycheereach::forward_action {

/// Choose an upstream.
struct ChooseTarget
{
    /// Upstreams that failed this request.
    std::set<UpstreamId> avoid_;
};

/// Send the request.
struct StartAttempt
{
    std::uint32_t attempt_ = 0;
    ForwardTarget target_;
    /// The event behind which the upstream goes on.
    std::optional<std::uint64_t> lastEventId_;
};

/// Close the attempt's connection; ends with AttemptEnded.
struct CancelAttempt
{
    std::uint32_t attempt_ = 0;
};

/// The attempt no longer uses its target.
struct ReleaseTarget
{
    ForwardTarget target_;
    /// Why the attempt failed; empty when it did not.
    std::string failure_;
    Verdict verdict_ = Verdict::Ran;
    TargetOutcome outcome_ = TargetOutcome::Responded;
};

/// Begin a stream with its first events.
struct BeginStream
{
    ForwardHead head_;
    std::string events_;
};

/// Send whole events.
struct SendEvents
{
    std::string events_;
};

/// End the stream.
struct EndStream
{ };

/// Send a whole answer of an upstream.
struct SendResponse
{
    ForwardHead head_;
    std::string body_;
};

/// Say that there is no answer.
struct SendRefusal
{
    ForwardRefusal refusal_;
    Verdict verdict_ = Verdict::NotRun;
};

/// Close the caller's connection, so that a begun stream does not look complete.
struct AbortResponse
{
    std::string reason_;
};

} // namespace lycheereach::forward_action

namespace lycheereach {

/// One output of ForwardMachine.
using ForwardAction = std::variant<forward_action::ChooseTarget, forward_action::StartAttempt,
                                   forward_action::CancelAttempt, forward_action::ReleaseTarget,
                                   forward_action::BeginStream, forward_action::SendEvents,
                                   forward_action::EndStream, forward_action::SendResponse,
                                   forward_action::SendRefusal, forward_action::AbortResponse>;

} // namespace lycheereach
