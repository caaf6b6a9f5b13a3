#include "serving/PauseDetector.h"

namespace lycheereach {

namespace {

/// Time allowed after a pause to process the messages that arrived meanwhile.
constexpr auto catchUpTime = std::chrono::milliseconds(250);

} // namespace

auto PauseDetector::tick(MonotonicTime now) -> bool
{
    if (isGap(now))
        caughtUpAt_ = now + catchUpTime;
    lastTick_ = now;
    return now >= caughtUpAt_;
}

auto PauseDetector::mayBeLate(MonotonicTime now) const -> bool
{
    return isGap(now) || now < caughtUpAt_;
}

auto PauseDetector::isGap(MonotonicTime now) const -> bool
{
    return lastTick_ != MonotonicTime{} && now - lastTick_ > maxTickInterval_;
}

} // namespace lycheereach
