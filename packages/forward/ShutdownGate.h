/// \file
/// \brief Decides when an entry that shuts down may exit.
#pragma once

#include "base/Time.h"

namespace lycheereach {

/// Decides when an entry that shuts down may exit: not before callers have stopped using its
/// address, and not before the last response can have been sent. Not thread-safe.
class ShutdownGate
{
public:
    /// Callers use the entry's address until \a addressHoldTime after \a leaveStartedAt.
    ShutdownGate(Duration addressHoldTime, MonotonicTime leaveStartedAt);

    /// Whether the process may exit at \a now; \a isActive says whether requests are in progress or
    /// responses unsent. Call it often: idle time counts from the last call with activity.
    auto mayExit(bool isActive, MonotonicTime now) -> bool;

private:
    MonotonicTime addressHeldUntil_;
    /// When activity was last seen, or when the shutdown began.
    MonotonicTime idleSince_;
};

} // namespace lycheereach
