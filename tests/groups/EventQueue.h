/// \file
/// \brief Runs functions in the order of simulated time.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lycheereach {

/// Runs functions in the order of simulated time.
class EventQueue
{
public:
    [[nodiscard]] auto now() const -> MonotonicTime { return now_; }

    auto after(Duration delay, std::function<void()> action) -> void
    {
        actions_.emplace(std::pair(now_ + delay, ++count_), std::move(action));
    }

    /// Runs what is due up to \a end.
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
    std::uint64_t count_ = 0;
    std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> actions_;
};

} // namespace lycheereach
