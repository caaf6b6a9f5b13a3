/// \file
/// \brief The time types; leases and deadlines use the monotonic clock, events the wall clock.
#pragma once

#include <chrono>
#include <functional>

namespace lycheereach {

using Duration = std::chrono::nanoseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/// Reads the monotonic clock.
using MonotonicClock = std::function<MonotonicTime()>;
/// Reads the wall clock.
using WallClock = std::function<WallTime()>;
/// A source of uniformly distributed 64-bit numbers.
using RandomSource = std::function<std::uint64_t()>;

/// \a duration in whole milliseconds, rounded down.
inline auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace lycheereach
