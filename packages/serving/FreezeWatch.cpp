#include "serving/FreezeWatch.h"

namespace lycheereach {

namespace {

/// Ticks that are further apart than this show that the process stood still.
constexpr auto longestTick = std::chrono::milliseconds(500);
/// How long messages that waited may take to be delivered.
constexpr auto catchUpTime = std::chrono::milliseconds(250);

} // namespace

auto FreezeWatch::tick(MonotonicTime now) -> bool
{
    if (lastTick_ != MonotonicTime{} && now - lastTick_ > longestTick)
        caughtUpAt_ = now + catchUpTime;
    lastTick_ = now;
    return now >= caughtUpAt_;
}

} // namespace lycheereach
