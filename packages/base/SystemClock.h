/// \file
/// \brief The clocks and the random source of a real process.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

auto readMonotonic() -> MonotonicTime;
/// As readMonotonic(), but counts the time for which the machine was suspended.
auto readBootTime() -> MonotonicTime;
auto readWall() -> WallTime;
/// A random source for each thread.
auto readRandom() -> std::uint64_t;

} // namespace lycheereach
