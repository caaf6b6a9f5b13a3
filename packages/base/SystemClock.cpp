#include "base/SystemClock.h"

#include <random>

namespace lycheereach {

auto readMonotonic() -> MonotonicTime
{
    return std::chrono::steady_clock::now();
}

auto readWall() -> WallTime
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now());
}

auto readRandom() -> std::uint64_t
{
    thread_local auto generator = std::mt19937_64(std::random_device{}());
    return generator();
}

} // namespace lycheereach
