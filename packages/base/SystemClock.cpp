#include "base/SystemClock.h"

#include <ctime>
#include <random>

namespace lycheereach {

auto readMonotonic() -> MonotonicTime
{
    return std::chrono::steady_clock::now();
}

auto readBootTime() -> MonotonicTime
{
    auto time = timespec{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec)
                         + std::chrono::nanoseconds(time.tv_nsec));
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
