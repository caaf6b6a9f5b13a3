/// \file
/// \brief The connection to one peer, made anew when it breaks or falls silent.
#pragma once

#include "transport/PeerContext.h"
#include "transport/PeerFraming.h"
#include "transport/PeerHandshake.h"

#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <string>

namespace lycheereach {

/// Sends the messages to one peer, and hands over those that it answers on the same connection.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(std::shared_ptr<PeerContext> context, EntryId peer, asio::ip::tcp::endpoint endpoint);

    auto start() -> void;
    /// Queues \a frame or drops it when too much waits; it takes the place of earlier ones of the
    /// method \a superseded that wait for a connection, unless that is empty. Thread-safe.
    auto send(std::string frame, std::string superseded) -> void;
    /// Ends the connection for good. Thread-safe.
    auto close() -> void;
    [[nodiscard]] auto endpoint() const -> const asio::ip::tcp::endpoint & { return endpoint_; }

private:
    enum class State { Connecting, Proving, Ready, Broken, Closed };
    struct Waiting
    {
        std::string frame_;
        MonotonicTime since_;
        /// Neither handshake nor heartbeat.
        bool isMessage_;
        /// The method whose next message takes the place of this one; empty without.
        std::string method_;
    };
    /// One connection with what its operations use.
    struct Connection
    {
        explicit Connection(const PeerStrand &strand)
            : socket_(strand)
        { }

        asio::ip::tcp::socket socket_;
        std::array<char, readBufferBytes> buffer_{};
        FrameReader frames_{handshakeFrameLimit};
        std::string writing_;
        bool writeUnderWay_ = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    auto connect() -> void;
    auto sendHello() -> void;
    auto readMore() -> void;
    auto take(std::size_t size) -> void;
    auto takeFrame(const std::string &frame) -> void;
    auto takeChallenge(const std::string &frame) -> void;
    auto queue(Waiting waiting) -> void;
    auto dropSuperseded(const std::string &method) -> void;
    auto writeNext() -> void;
    auto dropStale() -> void;
    auto writeHandshake(const std::string &text) -> void;
    auto write(std::string bytes) -> void;
    auto tick() -> void;
    auto beat() -> void;
    auto fail() -> void;
    auto dropConnection() -> void;

    std::shared_ptr<PeerContext> context_;
    EntryId peer_;
    asio::ip::tcp::endpoint endpoint_;
    PeerStrand strand_;
    asio::steady_timer timer_;
    State state_ = State::Broken;
    ConnectionPtr connection_;
    Duration backoff_;
    MonotonicTime lastHeard_;
    MonotonicTime lastSent_;
    PeerHello hello_;
    std::deque<Waiting> waiting_;
    std::atomic<std::size_t> waitingBytes_ = 0;
};

} // namespace lycheereach
