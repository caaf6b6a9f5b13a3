/// \file
/// \brief A client's connection and the request that is being received on it.
#pragma once

#include "transport/HttpInput.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace lycheereach {

/// A client's connection and the request that is being received on it. Outlives its ClientSocket
/// while a refusal is delivered. Runs on its strand.
class ClientChannel : public std::enable_shared_from_this<ClientChannel>
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    ClientChannel(Strand strand, asio::ip::tcp::socket socket);

    /// The request that is being received; set once, before the first read.
    auto setInput(std::unique_ptr<HttpInput> input) -> void { input_ = std::move(input); }
    [[nodiscard]] auto input() -> HttpInput & { return *input_; }
    [[nodiscard]] auto socket() -> asio::ip::tcp::socket & { return socket_; }
    [[nodiscard]] auto strand() const -> const Strand & { return strand_; }
    [[nodiscard]] auto isOpen() const -> bool { return !isReleased_ && socket_.is_open(); }
    /// Takes nothing more from the client; calls \a handler when the connection ends.
    template <typename Handler>
    auto waitForEnd(Handler handler) -> void
    {
        socket_.async_wait(
            asio::ip::tcp::socket::wait_error,
            asio::bind_executor(
                strand_, [handler = std::move(handler)](const std::error_code &error) mutable {
                    handler(error ? error
                                  : asio::error::make_error_code(asio::error::connection_reset),
                            0);
                }));
    }
    [[nodiscard]] auto isReset() const -> bool { return isReset_; }
    /// Closes the connection as if the client had reset it. Thread-safe.
    auto reset() -> void;
    /// Closes the connection. What the client still sends behind a refused request is read for a
    /// short time: a socket that is closed with unread bytes takes back the response.
    auto close() -> void;
    /// What an operation that ended with \a error has to tell.
    [[nodiscard]] auto resultOf(const std::error_code &error) const -> std::error_code;

private:
    auto discardMore() -> void;
    auto closeNow() -> void;

    Strand strand_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::unique_ptr<HttpInput> input_;
    std::atomic<bool> isReset_ = false;
    /// Whether RESTinio has closed the connection.
    bool isReleased_ = false;
    std::vector<char> discarded_;
    std::size_t discardableBytes_ = 0;
};

} // namespace lycheereach
