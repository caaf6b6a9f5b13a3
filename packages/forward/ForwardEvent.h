/// \file
/// \brief Events of a forwarded request; the input of ForwardStateMachine.
#pragma once

#include "base/Failure.h"
#include "base/Verdict.h"
#include "forward/ForwardResponseHead.h"
#include "forward/ForwardTarget.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>

namespace lycheereach::forward_event {

/// The caller's request has arrived.
struct Start
{ };

/// Result of ChooseTarget: the target is reserved.
struct TargetChosen
{
    ForwardTarget target_;
};

/// Result of ChooseTarget: the pool has no upstream, or all of them are full.
struct NoTargetAvailable
{
    Failure failure_;
};

/// Status and headers of an attempt's response.
struct ResponseHeadReceived
{
    std::uint32_t attempt_ = 0;
    ForwardResponseHead head_;
};

/// Bytes of the body of an attempt's response.
struct AttemptData
{
    std::uint32_t attempt_ = 0;
    std::string bytes_;
};

/// The attempt's connection has ended, possibly because of CancelAttempt.
struct AttemptEnded
{
    std::uint32_t attempt_ = 0;
    /// Empty when the complete response arrived.
    std::error_code error_;
    /// NotRun when no byte of the request was sent.
    Verdict verdict_ = Verdict::NotRun;
    std::string message_;
    /// Whether the connection was refused, so that nothing listens at the upstream's address.
    bool isRefused_ = false;
    /// HttpOutcome::isDelimited_.
    bool isDelimited_ = false;
};

/// The upstream of the open attempt sends no events, while another upstream has capacity and has
/// not stalled.
struct TargetStalled
{
    /// Reserved at the other upstream.
    ForwardTarget alternative_;
};

/// The caller closed its connection.
struct CallerDisconnected
{ };

/// ForwardPlan::deadline_ has passed.
struct DeadlinePassed
{ };

/// The process is about to end.
struct EntryStops
{ };

} // namespace lycheereach::forward_event

namespace lycheereach {

/// One input of ForwardStateMachine.
using ForwardEvent
    = std::variant<forward_event::Start, forward_event::TargetChosen,
                   forward_event::NoTargetAvailable, forward_event::ResponseHeadReceived,
                   forward_event::AttemptData, forward_event::AttemptEnded,
                   forward_event::TargetStalled, forward_event::CallerDisconnected,
                   forward_event::DeadlinePassed, forward_event::EntryStops>;

} // namespace lycheereach
