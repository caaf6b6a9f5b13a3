/// \file
/// \brief Detects pauses of this process.
#pragma once

#include "base/Time.h"

namespace lycheereach {

/// Detects by late ticks that this process was paused, so that messages which arrived meanwhile are
/// processed before any peer counts as silent. Not thread-safe.
class PauseDetector
{
public:
    /// Records a tick. Returns false while messages that arrived during a pause may be unprocessed.
    auto tick(MonotonicTime now) -> bool;

private:
    MonotonicTime lastTick_;
    MonotonicTime caughtUpAt_;
};

} // namespace lycheereach
