/// \file
/// \brief Notices that the process stood still.
#pragma once

#include "base/Time.h"

namespace lycheereach {

/// Notices by late ticks that the process stood still, so that messages which came meanwhile are
/// taken in before anything is given up for its silence. Not thread-safe.
class FreezeWatch
{
public:
    /// Notes a tick; false while messages that waited may still be on their way.
    auto tick(MonotonicTime now) -> bool;

private:
    MonotonicTime lastTick_;
    MonotonicTime caughtUpAt_;
};

} // namespace lycheereach
