/// \file
/// \brief Keeps the events of one process.
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

/// How a process keeps its events.
struct EventRecorderSettings
{
    /// Names the process in its events.
    std::string process_;
    /// Without it events are kept in memory only.
    std::optional<std::string> eventFile_;
    /// Events kept in memory.
    std::size_t recentLimit_ = 20000;
    /// Events that may wait for flush(); more are left out of file and text log.
    std::size_t pendingLimit_ = 20000;
};

/// Takes one line of the text log.
using TextSink = std::function<void(const std::string &line)>;

/// Stamps events, keeps the last ones in memory and hands all of them to file and text log.
/// Thread-safe. record() waits for no disk: the owner calls flush() at its tick. Its locks are
/// leaves of the lock order: they may be taken under any other, and none is taken under them.
class EventRecorder
{
public:
    /// \a textSink may be empty.
    EventRecorder(EventRecorderSettings settings, HybridClock &clock, TextSink textSink);
    /// Flushes.
    ~EventRecorder();
    EventRecorder(const EventRecorder &) = delete;
    auto operator=(const EventRecorder &) -> EventRecorder & = delete;

    auto record(const Event &event) -> void;
    /// record() as a hook; valid as long as this recorder.
    auto sink() -> EventSink;
    /// The events in memory that \a filter asks for, in order.
    [[nodiscard]] auto recent(const EventFilter &filter) const -> std::vector<RecordedEvent>;
    /// Writes what waits to file and text log; the error is that of the file.
    auto flush() -> std::error_code;
    /// How many events were left out of file and text log.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    auto takePending() -> std::vector<RecordedEvent>;

    EventRecorderSettings settings_;
    HybridClock &clock_;
    TextSink textSink_;
    mutable std::mutex mutex_;
    std::deque<RecordedEvent> recent_;
    std::vector<RecordedEvent> pending_;
    std::uint64_t dropped_ = 0;
    /// Held over a write, so that two flushes keep the order of the events.
    std::mutex flushMutex_;
    std::optional<EventFile> file_;
};

} // namespace lycheereach
