/// \file
/// \brief What happens to a forwarded request; the input of ForwardMachine.
#pragma once

#include "base/Failure.h"
#include "base/Verdict.h"
#include "forward/ForwardHead.h"
#include "forward/ForwardTarget.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>

namespace lycheereach::forward_event {

/// The caller's request is there.
struct Start
{ };

/// Answer to ChooseTarget.
struct TargetChosen
{
    ForwardTarget target_;
};

/// Answer to ChooseTarget: nothing can take the request, or nothing in time.
struct NoTargetAvailable
{
    Failure failure_;
};

/// Status and headers of an attempt's answer.
struct AttemptHead
{
    std::uint32_t attempt_ = 0;
    ForwardHead head_;
};

/// Bytes of an attempt's answer.
struct AttemptData
{
    std::uint32_t attempt_ = 0;
    std::string bytes_;
};

/// The end of an attempt's connection, also after CancelAttempt.
struct AttemptEnded
{
    std::uint32_t attempt_ = 0;
    /// Empty when the whole answer arrived.
    std::error_code error_;
    /// NotRun when no byte of the request left.
    Verdict verdict_ = Verdict::NotRun;
    std::string message_;
    /// Whether nothing listens at the upstream's address.
    bool isRefused_ = false;
};

/// The upstream of the open attempt gives nothing on any stream, and another one does.
struct TargetStalled
{ };

/// The caller closed its connection.
struct CallerDisconnected
{ };

/// The deadline of the plan.
struct DeadlinePassed
{ };

} // namespace lycheereach::forward_event

namespace lycheereach {

/// One input of ForwardMachine.
using ForwardEvent = std::variant<
    forward_event::Start, forward_event::TargetChosen, forward_event::NoTargetAvailable,
    forward_event::AttemptHead, forward_event::AttemptData, forward_event::AttemptEnded,
    forward_event::TargetStalled, forward_event::CallerDisconnected, forward_event::DeadlinePassed>;

} // namespace lycheereach
