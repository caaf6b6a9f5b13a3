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
    /// A longer time than \a maxTickInterval between two ticks means that the process was paused.
    explicit PauseDetector(Duration maxTickInterval = std::chrono::milliseconds(500))
        : maxTickInterval_(maxTickInterval)
    { }

    /// Records a tick. Returns false while messages that arrived during a pause may be unprocessed.
    auto tick(MonotonicTime now) -> bool;
    /// Whether a message that is processed at \a now may have waited for the end of a pause.
    [[nodiscard]] auto mayBeLate(MonotonicTime now) const -> bool;

private:
    [[nodiscard]] auto isGap(MonotonicTime now) const -> bool;

    Duration maxTickInterval_;
    MonotonicTime lastTick_;
    MonotonicTime caughtUpAt_;
};

} // namespace lycheereach
