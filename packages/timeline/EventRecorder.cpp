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
    const auto lock = std::scoped_lock(mutex_);
    recent_.push_back(lycheereach::record(event, clock_.now(), settings_.process_));
    if (pending_.size() < settings_.pendingLimit_)
        pending_.push_back(recent_.back());
    else
        ++dropped_;
    if (recent_.size() > settings_.recentLimit_)
        recent_.pop_front();
}

auto EventRecorder::sink() -> EventSink
{
    return [this](const Event &event) { record(event); };
}

auto EventRecorder::recent(const EventFilter &filter) const -> std::vector<RecordedEvent>
{
    const auto lock = std::scoped_lock(mutex_);
    auto chosen = std::vector<RecordedEvent>{};
    for (const auto &event : recent_) {
        if (matches(filter, event))
            chosen.push_back(event);
    }
    return chosen;
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
    const auto lock = std::scoped_lock(mutex_);
    return std::exchange(pending_, {});
}

auto EventRecorder::dropped() const -> std::uint64_t
{
    const auto lock = std::scoped_lock(mutex_);
    return dropped_;
}

} // namespace lycheereach
