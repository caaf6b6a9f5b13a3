/// \file
/// \brief Connections to the other processes of lycheereach.
#pragma once

#include "base/HybridClock.h"
#include "base/Time.h"
#include "transport/PeerMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace lycheereach {

class ConnectionRegistry;
class WorkerPool;

/// How a process talks to its peers.
struct PeerNetworkSettings
{
    EntryId self_;
    /// `IP:port` to listen on.
    std::string address_;
    /// The secret that all processes of one fleet share.
    std::string key_;
    /// Bounds the connections of the process; those that peers make are without a bound if not set.
    std::shared_ptr<ConnectionRegistry> connections_;
    /// A connection silent for this long is given up and made anew.
    Duration silenceTimeout_ = std::chrono::milliseconds(1500);
    /// A connection on which nothing came or went for this long carries a heartbeat.
    Duration heartbeatInterval_ = std::chrono::milliseconds(400);
    /// Bytes that may wait for one peer before messages to it are dropped.
    std::size_t queueLimitBytes_ = 16U << 20U;
};

/// What happens on the network; called on worker threads, for one peer one at a time.
struct PeerNetworkHooks
{
    std::function<void(const EntryId &from, const PeerMessage &)> received_;
    /// Told of a connection whose peer did not prove that it has the key.
    std::function<void(const std::string &remoteAddress)> keyRejected_;
    /// Told of a connection that was given up as silent.
    std::function<void(const EntryId &peer)> silent_;
};

/// Counters since the start.
struct PeerNetworkCounters
{
    std::uint64_t messagesSent_ = 0;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t messagesReceived_ = 0;
    std::uint64_t bytesReceived_ = 0;
    std::uint64_t messagesDropped_ = 0;
};

/// Persistent connections with length-framed notifications, heartbeats and proof of the shared key.
/// Messages to one peer arrive in order or not at all; those to a peer without a known address go
/// over the connection that it has made. Thread-safe.
class PeerNetwork
{
public:
    PeerNetwork(WorkerPool &workers, HybridClock &clock, PeerNetworkSettings settings,
                PeerNetworkHooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    auto operator=(const PeerNetwork &) -> PeerNetwork & = delete;

    /// Listens; the error says why it can't.
    auto start() -> std::error_code;
    /// The port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Says where a peer is; a changed address closes the old connection, an empty one forgets
    /// the peer.
    auto setPeer(const EntryId &peer, const std::string &address) -> void;
    /// Sends or drops; a message to oneself is received like any other.
    auto send(const EntryId &peer, PeerMessage message) -> void;
    /// As send() to each of \a peers, encoded once.
    auto send(const std::vector<EntryId> &peers, const PeerMessage &message) -> void;
    [[nodiscard]] auto counters() const -> PeerNetworkCounters;
    /// Closes everything and waits for hooks that run. Not from a hook.
    auto stop() -> void;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lycheereach
