/// \file
/// \brief Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Cuts a stream of server-sent events into whole events, which are handed on byte for byte. Events
/// at or before the last one handed on are left out. Not thread-safe.
class EventStreamReader
{
public:
    /// \a lastEventId is the last event that the caller has.
    explicit EventStreamReader(std::optional<std::uint64_t> lastEventId);

    /// Takes bytes of the current run; returns the whole events that they complete.
    auto feed(std::string_view bytes) -> std::string;
    /// Another run goes on with the stream: an event that was cut off is dropped.
    auto beginAttempt() -> void;
    /// Whether the run ended between two events.
    [[nodiscard]] auto isAtEventBoundary() const -> bool { return pending_.empty(); }
    /// Whether the event that has begun is longer than any that is taken.
    [[nodiscard]] auto hasOverflowed() const -> bool { return pending_.size() > maxEventBytes; }
    [[nodiscard]] auto lastEventId() const -> std::optional<std::uint64_t> { return lastEventId_; }
    /// Whether an event was left out or handed on without an id, so that the stream can't be
    /// resumed.
    [[nodiscard]] auto hasEventWithoutId() const -> bool { return hasEventWithoutId_; }

private:
    /// Events of models hold a few tokens; one that outgrows this never ends.
    static constexpr auto maxEventBytes = std::size_t{1024} * 1024;

    std::string pending_;
    std::optional<std::uint64_t> lastEventId_;
    bool hasEventWithoutId_ = false;
};

} // namespace lycheereach
