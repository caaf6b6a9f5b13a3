/// \file
/// \brief An event loop on simulated time.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lycheereach {

/// Runs functions in the order of simulated time, those due at the same time in the order in which
/// they were added.
class EventQueue
{
public:
    [[nodiscard]] auto now() const -> MonotonicTime { return now_; }

    /// Schedules \a action to run \a delay from now.
    auto scheduleAfter(Duration delay, std::function<void()> action) -> void
    {
        actions_.emplace(std::pair(now_ + delay, ++added_), std::move(action));
    }

    /// Runs the functions that are due by \a end and advances the time to it.
    auto runUntil(MonotonicTime end) -> void
    {
        while (!actions_.empty() && actions_.begin()->first.first <= end) {
            auto next = actions_.extract(actions_.begin());
            now_ = next.key().first;
            next.mapped()();
        }
        now_ = end;
    }

private:
    MonotonicTime now_;
    std::uint64_t added_ = 0;
    std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> actions_;
};

} // namespace lycheereach
