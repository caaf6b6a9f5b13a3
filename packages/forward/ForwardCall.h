/// \file
/// \brief What one attempt adds to a forwarded request.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "forward/ForwardTarget.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// What one attempt adds to a forwarded request.
struct ForwardCall
{
    ForwardTarget target_;
    /// Of the caller's key; empty when the route is public.
    WorkspaceName workspace_;
    /// What is left of the caller's time.
    Duration left_{};
    /// The event behind which the upstream goes on with a stream.
    std::optional<std::uint64_t> lastEventId_;
    /// 0 is the most urgent.
    std::uint32_t priority_ = 5;
};

} // namespace lycheereach
