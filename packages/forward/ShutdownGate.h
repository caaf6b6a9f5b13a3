/// \file
/// \brief Decides when an entry that shuts down may exit.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace lycheereach {

/// Decides when an entry that shuts down may exit: not before callers have stopped using its
/// address, and not before the last response can have been sent. Not thread-safe.
class ShutdownGate
{
public:
    /// Callers use the entry's address until \a addressHoldTime after \a leaveStartedAt.
    ShutdownGate(Duration addressHoldTime, MonotonicTime leaveStartedAt);

    /// Whether the process may exit at \a now, with \a active requests in progress. Call it often:
    /// idle time counts from the last call with active requests.
    auto mayExit(std::size_t active, MonotonicTime now) -> bool;

private:
    MonotonicTime addressHeldUntil_;
    /// When a request was last seen in progress, or when the shutdown began.
    MonotonicTime idleSince_;
};

} // namespace lycheereach
