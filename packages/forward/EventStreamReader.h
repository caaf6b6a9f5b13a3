/// \file
/// \brief Splits a stream of server-sent events into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Splits a stream of server-sent events into complete events and returns them byte for byte. Skips
/// events whose id is not above that of the last event returned. Not thread-safe.
class EventStreamReader
{
public:
    /// \a lastEventId is the id of the last event that the caller has received.
    explicit EventStreamReader(std::optional<std::uint64_t> lastEventId);

    /// Appends \a bytes of the current attempt; returns the events that are now complete.
    auto feed(std::string_view bytes) -> std::string;
    /// Another attempt continues the stream: discards an incomplete event of the previous one.
    auto beginAttempt() -> void;
    /// Whether the bytes so far end with a complete event.
    [[nodiscard]] auto isAtEventBoundary() const -> bool { return pending_.empty(); }
    /// The bytes of the incomplete event.
    [[nodiscard]] auto pendingBytes() const -> std::size_t { return pending_.size(); }
    /// Whether bytes came that are no event; they and all that follows are dropped.
    [[nodiscard]] auto hasForeignBytes() const -> bool { return hasForeignBytes_; }
    /// Whether the incomplete event exceeds the size limit.
    [[nodiscard]] auto hasOverflowed() const -> bool { return pending_.size() > maxEventBytes; }
    [[nodiscard]] auto lastEventId() const -> std::optional<std::uint64_t> { return lastEventId_; }
    /// Whether an event without an id has arrived, so that the stream can't be resumed.
    [[nodiscard]] auto hasEventWithoutId() const -> bool { return hasEventWithoutId_; }

private:
    /// Events of models hold a few tokens; a longer one is taken to be without an end.
    static constexpr auto maxEventBytes = std::size_t{1024} * 1024;

    std::string pending_;
    std::optional<std::uint64_t> lastEventId_;
    bool hasEventWithoutId_ = false;
    bool hasForeignBytes_ = false;
};

} // namespace lycheereach
