/// \file
/// \brief Bounds what the connections of clients take of a process.
#pragma once

#include "base/Event.h"
#include "base/Time.h"
#include "transport/ConnectionCounters.h"
#include "transport/ConnectionLimits.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lycheereach {

class ConnectionUsage;

/// The connections of clients of all listeners of a process, and the bytes that they hold.
///
/// While the limits allow it nothing is closed but a connection on which a request, or the next
/// one, does not arrive in time. Beyond them it closes the connections that cost their clients
/// least: for memory those with an incomplete request, or an unread response, that makes no
/// progress, then the largest incomplete request, and for a response the one that has waited
/// longest; for connections those that have never sent a whole request, then the one that has been
/// idle longest. A connection on which a request is being handled is closed only when its client
/// does not read the response. Thread-safe.
class ConnectionRegistry : public std::enable_shared_from_this<ConnectionRegistry>
{
public:
    /// Closes a connection soon, from any thread.
    using CloseHook = std::function<void()>;

    /// Reports what it has refused and closed to \a event, if set.
    ConnectionRegistry(ConnectionLimits limits, EventSink event,
                       std::function<MonotonicTime()> now = std::chrono::steady_clock::now);

    /// Registers a connection until the result is destroyed. Null when all connections are in use
    /// and none of them may be closed.
    auto admit(CloseHook close) -> std::shared_ptr<ConnectionUsage>;
    /// Closes the connections whose requests are late and reports, at most once a second, what was
    /// refused and closed. Call it several times a second.
    auto tick() -> void;
    /// Counts a request that was refused because its head or body is too large.
    auto countTooLarge() -> void;
    /// Counts a request that was refused for want of memory.
    auto countNoMemory() -> void;
    [[nodiscard]] auto counters() const -> ConnectionCounters;
    [[nodiscard]] auto limits() const -> const ConnectionLimits & { return limits_; }

private:
    friend class ConnectionUsage;

    struct Record
    {
        CloseHook close_;
        /// Bytes of the request that is being received.
        std::size_t inputBytes_ = 0;
        /// Bytes of responses that the client has not taken yet.
        std::size_t outputBytes_ = 0;
        /// Requests without a whole response.
        std::size_t openRequests_ = 0;
        bool hasSentRequest_ = false;
        /// Whether a request has begun to arrive and is not complete.
        bool isReceiving_ = false;
        /// Whether the connection is never closed to make room.
        bool isExempt_ = false;
        bool isClosing_ = false;
        MonotonicTime receivedAt_;
        /// When bytes were last sent, or began to wait.
        MonotonicTime sentAt_;
        /// When the head of the request, the next bytes of its body or, without one, the next
        /// request must have arrived.
        std::optional<MonotonicTime> dueAt_;
        /// How long there may be no request; nothing where that is not limited.
        std::optional<Duration> idleTimeout_;
        /// How long the body may be silent; nothing outside of a body.
        std::optional<Duration> bodySilenceTimeout_;
    };
    using Records = std::map<std::uint64_t, Record>;

    /// Runs \a work under the lock and then, without it, the hooks of connections that it closes.
    template <typename Work>
    auto run(Work work) -> void
    {
        auto hooks = std::vector<CloseHook>{};
        {
            const auto lock = std::scoped_lock(mutex_);
            work();
            hooks.swap(dueHooks_);
        }
        for (const auto &hook : hooks)
            hook();
    }

    // All that follow need the lock.
    auto add(CloseHook close) -> std::uint64_t;
    auto closeLate() -> void;
    /// The connection is idle from now on, unless a request arrives or its response is not sent.
    auto setIdleIfDone(Record &record) -> void;
    auto remove(std::uint64_t id) -> void;
    /// Has the connection closed; what it holds no longer counts.
    auto close(Record &record) -> void;
    /// Closes connections until \a bytes more of a request fit below \a limit; \a own is not among
    /// them.
    auto makeRoomForInput(std::size_t bytes, std::size_t limit, const Record &own) -> bool;
    /// Closes connections until what is held fits, if need be that of \a own.
    auto makeRoomForOutput(const Record &own) -> void;
    auto closeForMemory(Record *record) -> bool;
    [[nodiscard]] auto stalledBytes(const Record &record) const -> std::size_t;
    auto findStalled(const Record &own) -> Record *;
    auto findLargestInput(const Record &own) -> Record *;
    /// The connection whose response has waited longest for its client.
    auto findOldestOutput() -> Record *;
    auto findIdle() -> Record *;
    auto report() -> void;

    ConnectionLimits limits_;
    EventSink event_;
    std::function<MonotonicTime()> now_;
    mutable std::mutex mutex_;
    Records records_;
    /// Of the connections that are to be closed as soon as the lock is free.
    std::vector<CloseHook> dueHooks_;
    std::uint64_t lastId_ = 0;
    /// Records of connections that are being closed.
    std::size_t closing_ = 0;
    /// Held by all connections, and by requests that are being handled.
    std::size_t heldBytes_ = 0;
    ConnectionCounters counters_;
    ConnectionCounters reported_;
    MonotonicTime reportedAt_;
    MonotonicTime tickedAt_;
};

} // namespace lycheereach
