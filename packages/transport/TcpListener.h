/// \file
/// \brief Accepting TCP connections.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <system_error>
#include <vector>

// Behind a standard header: in front of it Asio 1.22 allocates otherwise than in other sources.
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace lycheereach {

/// Accepts connections on the workers of a context until it is closed. Thread-safe: accepting and
/// closing are ordered. A pending accept keeps it alive.
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    /// Takes a connection, one at a time.
    using Accepted = std::function<void(asio::ip::tcp::socket)>;

    TcpListener(asio::io_context &context, Accepted accepted);

    /// Listens, once; the error says why it can't, for example address in use.
    /// \a receiveBufferBytes is set on the connections before they are accepted, so that no client
    /// can fill a larger one; 0 leaves it to the system.
    auto listen(const asio::ip::tcp::endpoint &endpoint, std::size_t receiveBufferBytes = 0)
        -> std::error_code;
    /// Further connections are refused from the return on; those that the system has taken before
    /// are handed over first. Waits for no worker but one that takes a connection.
    auto close() -> void;
    /// The port in use after listen().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto open(const asio::ip::tcp::endpoint &endpoint, std::size_t receiveBufferBytes)
        -> std::error_code;
    auto acceptNext() -> void;
    /// The connections that the system has taken; the listener is closed behind them.
    auto takeWaitingAndClose() -> std::vector<asio::ip::tcp::socket>;
    auto handOver(asio::ip::tcp::socket socket) -> void;
    auto retryAccept() -> void;

    /// Held while accepted_ runs.
    std::mutex acceptedMutex_;
    Accepted accepted_;
    /// Guards the acceptor and the timer, which Asio doesn't.
    mutable std::mutex mutex_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    std::uint16_t port_ = 0;
};

} // namespace lycheereach
