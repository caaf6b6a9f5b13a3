/// \file
/// \brief Records the events of one process.
#pragma once

#include "base/Event.h"
#include "base/HybridClock.h"
#include "timeline/EventFile.h"
#include "timeline/EventFilter.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace lycheereach {

/// Where and how many events a process keeps.
struct EventRecorderSettings
{
    /// Name of the process, written into each event.
    std::string process_;
    /// Path of the event file; without it, events are not written to a file.
    std::optional<std::string> eventFile_;
    /// Maximum number of events kept in memory; the oldest are discarded.
    std::size_t recentLimit_ = 20000;
    /// Maximum number of events that wait for flush(); further ones are missing from the event file
    /// and the text log.
    std::size_t pendingLimit_ = 20000;
};

/// Receives one line of the text log.
using TextSink = std::function<void(const std::string &line)>;

/// Timestamps events, keeps the most recent ones in memory and writes all to the event file and the
/// text log. Thread-safe. record() does no disk I/O: the owner calls flush() periodically. Its
/// locks come last in the lock order: they may be acquired while holding any other lock, and no
/// other is acquired while holding them.
class EventRecorder
{
public:
    /// An empty \a textSink disables the text log.
    EventRecorder(EventRecorderSettings settings, HybridClock &clock, TextSink textSink);
    /// Flushes pending events.
    ~EventRecorder();
    EventRecorder(const EventRecorder &) = delete;
    auto operator=(const EventRecorder &) -> EventRecorder & = delete;

    auto record(const Event &event) -> void;
    /// A function that calls record(); valid only during the lifetime of this recorder.
    auto sink() -> EventSink;
    /// The events in memory that match \a filter, oldest first.
    [[nodiscard]] auto recent(const EventFilter &filter) const -> std::vector<RecordedEvent>;
    /// Writes pending events to the event file and the text log; returns the error of the file.
    auto flush() -> std::error_code;
    /// Number of events missing from the event file and the text log because too many were pending.
    [[nodiscard]] auto droppedEventCount() const -> std::uint64_t;

private:
    auto takePending() -> std::vector<RecordedEvent>;

    EventRecorderSettings settings_;
    HybridClock &clock_;
    TextSink textSink_;
    mutable std::mutex eventsMutex_;
    std::deque<RecordedEvent> recentEvents_;
    std::vector<RecordedEvent> pendingEvents_;
    std::uint64_t droppedCount_ = 0;
    /// Held during a write, so that concurrent flushes keep the order of the events.
    std::mutex flushMutex_;
    std::optional<EventFile> file_;
};

} // namespace lycheereach
