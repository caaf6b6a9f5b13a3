/// \file
/// \brief What one attempt adds to the caller's request when it is sent to an upstream.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "forward/ForwardTarget.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// What one attempt adds to the caller's request when it is sent to an upstream.
struct AttemptParameters
{
    ForwardTarget target_;
    /// The workspace of the caller's key; empty when the route is public.
    WorkspaceName workspace_;
    /// Time left until the deadline of the request.
    Duration remainingTime_{};
    /// Id of the event after which the upstream continues a stream; nothing for a new one.
    std::optional<std::uint64_t> lastEventId_;
    /// 0 is the most urgent.
    std::uint32_t priority_ = 5;
};

} // namespace lycheereach
