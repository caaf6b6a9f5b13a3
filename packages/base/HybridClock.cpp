#include "base/HybridClock.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

HybridClock::HybridClock(WallClock wallClock)
    : wallClock_(std::move(wallClock))
{ }

auto HybridClock::now() -> HybridTime
{
    const auto wall = wallClock_().time_since_epoch().count();
    const auto lock = std::scoped_lock(mutex_);
    if (wall > last_.wallMicroseconds_)
        last_ = HybridTime{wall, 0};
    else
        ++last_.counter_;
    return last_;
}

auto HybridClock::observe(const HybridTime &remote) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    last_ = std::max(last_, remote);
}

} // namespace lycheereach
