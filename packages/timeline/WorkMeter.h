/// \file
/// \brief Measures how long each kind of work holds a worker thread.
#pragma once

#include "base/Event.h"
#include "base/Time.h"
#include "timeline/WorkTotals.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace lycheereach {

/// Measures how long each kind of work holds a worker thread. Time spent waiting, for example for a
/// disk, counts. Thread-safe.
class WorkMeter
{
public:
    /// A single run that takes \a slowRunTime or longer emits EventNumber::WorkSlow, at most once
    /// in a second.
    WorkMeter(Duration slowRunTime, EventSink event, MonotonicClock now);

    /// Runs \a work and adds its time to the totals of \a kind.
    template <typename Work>
    auto measure(std::string_view kind, Work work) -> void
    {
        const auto startedAt = now_();
        work();
        record(kind, now_() - startedAt);
    }
    /// Adds one run that took \a time to the totals of \a kind.
    auto record(std::string_view kind, Duration time) -> void;
    /// Emits EventNumber::WorkTime with the totals since the last call, and resets them.
    auto report() -> void;
    /// The totals since the last report().
    [[nodiscard]] auto totals() const -> std::map<std::string, WorkTotals, std::less<>>;

private:
    Duration slowRunTime_;
    EventSink event_;
    MonotonicClock now_;
    mutable std::mutex mutex_;
    MonotonicTime slowReportedAt_;
    std::map<std::string, WorkTotals, std::less<>> totals_;
};

} // namespace lycheereach
