/// \file
/// \brief The clocks and the random source of a real process.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

auto readMonotonic() -> MonotonicTime;
auto readWall() -> WallTime;
/// A random source for each thread.
auto readRandom() -> std::uint64_t;

} // namespace lycheereach
