#include "timeline/EventRecorder.h"

#include "timeline/Timeline.h"

#include <utility>

namespace lycheereach {

EventRecorder::EventRecorder(EventRecorderSettings settings, HybridClock &clock, TextSink textSink)
    : settings_(std::move(settings))
    , clock_(clock)
    , textSink_(std::move(textSink))
{
    if (settings_.eventFile_)
        file_.emplace(*settings_.eventFile_);
}

EventRecorder::~EventRecorder()
{
    flush();
}

auto EventRecorder::record(const Event &event) -> void
{
    const auto lock = std::scoped_lock(eventsMutex_);
    recentEvents_.push_back(lycheereach::record(event, clock_.now(), settings_.process_));
    if (pendingEvents_.size() < settings_.pendingLimit_)
        pendingEvents_.push_back(recentEvents_.back());
    else
        ++droppedCount_;
    if (recentEvents_.size() > settings_.recentLimit_)
        recentEvents_.pop_front();
}

auto EventRecorder::sink() -> EventSink
{
    return [this](const Event &event) { record(event); };
}

auto EventRecorder::recent(const EventFilter &filter) const -> std::vector<RecordedEvent>
{
    const auto lock = std::scoped_lock(eventsMutex_);
    auto matching = std::vector<RecordedEvent>{};
    for (const auto &event : recentEvents_) {
        if (matches(filter, event))
            matching.push_back(event);
    }
    return matching;
}

auto EventRecorder::flush() -> std::error_code
{
    const auto flushLock = std::scoped_lock(flushMutex_);
    const auto events = takePending();
    if (events.empty())
        return {};
    if (textSink_) {
        for (const auto &event : events)
            textSink_(renderEvent(event));
    }
    return file_ ? file_->append(events) : std::error_code{};
}

auto EventRecorder::takePending() -> std::vector<RecordedEvent>
{
    const auto lock = std::scoped_lock(eventsMutex_);
    return std::exchange(pendingEvents_, {});
}

auto EventRecorder::droppedEventCount() const -> std::uint64_t
{
    const auto lock = std::scoped_lock(eventsMutex_);
    return droppedCount_;
}

} // namespace lycheereach
