/// \file
/// \brief When a leaving entry may end.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace lycheereach {

/// When a leaving entry may end: not before callers have dropped its address, and not before the
/// last answer had time to leave the process. Not thread-safe.
class LeaveWatch
{
public:
    /// Callers hold the address for \a addressKept from \a began on.
    LeaveWatch(Duration addressHoldTime, MonotonicTime leaveStartedAt);

    /// Whether the entry may end at \a now, with \a active requests in progress. Call it often.
    auto mayEnd(std::size_t active, MonotonicTime now) -> bool;

private:
    MonotonicTime addressHeldUntil_;
    /// Since when no request is in progress.
    MonotonicTime idleSince_;
};

} // namespace lycheereach
