/// \file
/// \brief A connection that a peer has made.
#pragma once

#include "transport/PeerContext.h"
#include "transport/PeerFraming.h"
#include "transport/PeerHandshake.h"

#include <asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheereach {

class ConnectionUsage;

/// Proves the key, then hands over what the peer sends, answers its heartbeats and carries messages
/// to it.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    /// Tells which peer has proved itself; returns where its messages are handled, in order over
    /// all its connections.
    using Accepted = std::function<PeerStrand(const EntryId &, std::shared_ptr<PeerSession>)>;

    PeerSession(std::shared_ptr<PeerContext> context, PeerStrand strand,
                asio::ip::tcp::socket socket, Accepted accepted);

    /// Set before start(); keeps \a usage as long as the session.
    auto setUsage(std::shared_ptr<ConnectionUsage> usage) -> void { usage_ = std::move(usage); }
    auto start() -> void;
    /// Ends the connection; nothing is handed over after the message that is under way.
    auto close() -> void;
    /// Queues \a frame; a peer for which too much waits is cut off. Thread-safe.
    auto send(std::string frame) -> void;

private:
    using Frames = std::vector<std::string>;

    auto readMore() -> void;
    auto take(std::size_t size) -> void;
    auto takeHandshake(const std::string &frame) -> void;
    auto takeHello(const std::string &frame) -> void;
    auto takeProof(const std::string &frame) -> void;
    auto handleFrames(Frames frames) -> void;
    auto handleFrame(const std::string &frame) -> bool;
    auto answerHeartbeat() -> void;
    auto write(std::string bytes) -> void;
    auto writeNext() -> void;
    auto watchSilence() -> void;
    auto rejectKey() -> void;
    auto closeNow() -> void;

    std::shared_ptr<PeerContext> context_;
    PeerStrand strand_;
    PeerStrand peerStrand_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    Accepted accepted_;
    std::string remote_;
    PeerHello hello_;
    std::string nonce_;
    bool helloTaken_ = false;
    bool proved_ = false;
    std::atomic<bool> closed_ = false;
    bool handling_ = false;
    MonotonicTime startedAt_;
    MonotonicTime lastHeard_;
    /// Small until the peer has proved the key.
    std::vector<char> buffer_ = std::vector<char>(handshakeFrameLimit);
    std::shared_ptr<ConnectionUsage> usage_;
    FrameReader frames_{handshakeFrameLimit};
    std::string writing_;
    std::string waiting_;
};

} // namespace lycheereach
