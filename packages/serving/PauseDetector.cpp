#include "serving/PauseDetector.h"

namespace lycheereach {

namespace {

/// A longer time between two ticks means that the process was paused.
constexpr auto maxTickInterval = std::chrono::milliseconds(500);
/// Time allowed after a pause to process the messages that arrived meanwhile.
constexpr auto catchUpTime = std::chrono::milliseconds(250);

} // namespace

auto PauseDetector::tick(MonotonicTime now) -> bool
{
    if (lastTick_ != MonotonicTime{} && now - lastTick_ > maxTickInterval)
        caughtUpAt_ = now + catchUpTime;
    lastTick_ = now;
    return now >= caughtUpAt_;
}

} // namespace lycheereach
