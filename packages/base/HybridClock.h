/// \file
/// \brief A hybrid logical clock.
#pragma once

#include "base/HybridTime.h"
#include "base/Time.h"

#include <mutex>

namespace lycheereach {

/// Stamps events so that an event that was caused by a message follows the sending of it.
/// Thread-safe.
class HybridClock
{
public:
    explicit HybridClock(WallClock wallClock);

    /// A stamp later than all stamps given or observed so far.
    auto now() -> HybridTime;
    /// Takes in the stamp of a received message.
    auto observe(const HybridTime &remote) -> void;

private:
    WallClock wallClock_;
    std::mutex mutex_;
    HybridTime last_;
};

} // namespace lycheereach
