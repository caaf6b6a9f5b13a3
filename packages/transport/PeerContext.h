/// \file
/// \brief What all connections of one PeerNetwork share.
#pragma once

#include "transport/HookGate.h"
#include "transport/PeerNetwork.h"
#include "transport/PeerNotification.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <optional>

namespace lycheereach {

using PeerStrand = asio::strand<asio::io_context::executor_type>;

/// The bytes of a frame before the peer has proved the key.
constexpr std::size_t handshakeFrameLimit = 4096;
/// Bytes read at once.
constexpr std::size_t readBufferBytes = 65536;
/// Room for the envelope of a message that is as large as the queue.
constexpr std::size_t envelopeLimit = 4096;

/// Shared by the connections, which may outlive the network by a moment; the gate guards what
/// belongs to its owner.
class PeerContext
{
public:
    PeerContext(asio::io_context &io, HybridClock &clock, PeerNetworkSettings settings,
                PeerNetworkHooks hooks);

    /// The frame of \a message stamped now; nothing after the network has stopped.
    auto frameOf(const PeerMessage &message) -> std::optional<std::string>;
    /// Takes in the stamp; hands over anything but a heartbeat.
    auto deliver(const EntryId &from, const StampedMessage &stamped) -> void;
    auto tellKeyRejected(const std::string &remoteAddress) -> void;
    auto tellSilent(const EntryId &peer) -> void;
    [[nodiscard]] auto frameLimit() const -> std::size_t;
    [[nodiscard]] auto counters() const -> PeerNetworkCounters;

    asio::io_context &io_;
    PeerNetworkSettings settings_;
    HookGate gate_;
    std::atomic<std::uint64_t> messagesSent_ = 0;
    std::atomic<std::uint64_t> bytesSent_ = 0;
    std::atomic<std::uint64_t> messagesReceived_ = 0;
    std::atomic<std::uint64_t> bytesReceived_ = 0;
    std::atomic<std::uint64_t> messagesDropped_ = 0;

private:
    HybridClock &clock_;
    PeerNetworkHooks hooks_;
};

/// `IP:port` of \a endpoint.
auto printEndpoint(const asio::ip::tcp::endpoint &endpoint) -> std::string;
/// The inverse of printEndpoint(); nothing when \a address is not an IP number with a port.
auto parseEndpoint(const std::string &address) -> std::optional<asio::ip::tcp::endpoint>;

} // namespace lycheereach
