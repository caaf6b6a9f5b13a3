#include "timeline/WorkMeter.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// The time between two events about slow runs: a process that is late must not be busy with
/// reporting it.
constexpr auto slowReportInterval = std::chrono::seconds(1);

} // namespace

WorkMeter::WorkMeter(Duration slowRunTime, EventSink event, MonotonicClock now)
    : slowRunTime_(slowRunTime)
    , event_(std::move(event))
    , now_(std::move(now))
{ }

auto WorkMeter::record(std::string_view kind, Duration time) -> void
{
    auto isReported = false;
    {
        const auto lock = std::scoped_lock(mutex_);
        auto found = totals_.find(kind);
        if (found == totals_.end())
            found = totals_.emplace(std::string(kind), WorkTotals{}).first;
        auto &totals = found->second;
        totals = WorkTotals{totals.runs_ + 1, totals.time_ + time, std::max(totals.longest_, time)};
        if (time >= slowRunTime_ && now_() - slowReportedAt_ >= slowReportInterval) {
            isReported = true;
            slowReportedAt_ = now_();
        }
    }
    if (isReported)
        event_(Event{EventNumber::WorkSlow,
                     {{"kind", std::string(kind)}, {"ms", std::to_string(toMilliseconds(time))}}});
}

auto WorkMeter::report() -> void
{
    auto totals = std::map<std::string, WorkTotals, std::less<>>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        totals = std::exchange(totals_, {});
    }
    auto attributes = std::map<std::string, std::string>{};
    for (const auto &[kind, total] : totals)
        attributes[kind] = std::to_string(toMilliseconds(total.time_)) + "ms/"
            + std::to_string(total.runs_) + "/" + std::to_string(toMilliseconds(total.longest_))
            + "ms";
    if (!attributes.empty())
        event_(Event{EventNumber::WorkTime, std::move(attributes)});
}

auto WorkMeter::totals() const -> std::map<std::string, WorkTotals, std::less<>>
{
    const auto lock = std::scoped_lock(mutex_);
    return totals_;
}

} // namespace lycheereach
