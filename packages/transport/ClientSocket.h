/// \file
/// \brief The socket of a client's connection, as RESTinio uses it.
#pragma once

#include "transport/ConnectionUsage.h"
#include "transport/HttpInput.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace lycheereach {

/// The state of a ClientSocket, which outlives it while a refusal is delivered. Runs on its strand.
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

/// The socket of a client's connection. Its HttpInput is current() in all handlers of its
/// operations, that is wherever RESTinio parses what has come.
class ClientSocket
{
public:
    using executor_type = ClientChannel::Strand; // NOLINT(readability-identifier-naming)

    explicit ClientSocket(std::shared_ptr<ClientChannel> channel)
        : channel_(std::move(channel))
    { }

    /// The input of the connection whose handler this thread runs; null outside of handlers.
    static auto current() -> HttpInput *;

    // The names that RESTinio and Asio call.
    // NOLINTBEGIN(readability-identifier-naming)
    auto lowest_layer() -> asio::ip::tcp::socket & { return channel_->socket(); }
    auto get_executor() -> executor_type { return channel_->strand(); }
    [[nodiscard]] auto is_open() const -> bool { return channel_->isOpen(); }
    auto cancel(std::error_code &error) -> void { channel_->socket().cancel(error); }
    /// Part of close(), which RESTinio calls next.
    auto shutdown(asio::ip::tcp::socket::shutdown_type, std::error_code &) -> void { }
    auto close() -> void { channel_->close(); }

    template <typename Buffers, typename Handler>
    auto async_read_some(const Buffers &buffers, Handler &&handler) -> void
    {
        auto wrapped = wrap(std::forward<Handler>(handler), &ConnectionUsage::recordReceived);
        if (channel_->isReset())
            asio::post(channel_->strand(), [wrapped = std::move(wrapped)]() mutable {
                wrapped(std::error_code(), std::size_t{0});
            });
        else if (channel_->input().refusal())
            channel_->waitForEnd(std::move(wrapped));
        else
            channel_->socket().async_read_some(buffers, std::move(wrapped));
    }

    template <typename Buffers, typename Handler>
    auto async_write_some(const Buffers &buffers, Handler &&handler) -> void
    {
        channel_->socket().async_write_some(
            buffers, wrap(std::forward<Handler>(handler), &ConnectionUsage::recordSent));
    }
    // NOLINTEND(readability-identifier-naming)

private:
    /// Makes an input current() as long as it lives.
    class Scope
    {
    public:
        explicit Scope(HttpInput &input);
        ~Scope();
        Scope(const Scope &) = delete;
        auto operator=(const Scope &) -> Scope & = delete;

    private:
        HttpInput *outer_;
    };

    template <typename Handler>
    auto wrap(Handler &&handler, void (ConnectionUsage::*record)())
    {
        const auto executor = asio::get_associated_executor(handler, channel_->strand());
        return asio::bind_executor(
            executor,
            [channel = channel_, record, handler = std::forward<Handler>(handler)](
                const std::error_code &error, std::size_t bytes) mutable {
                auto &input = channel->input();
                const auto result = channel->resultOf(error);
                if (!result)
                    (*input.usage().*record)();
                const auto scope = Scope(input);
                handler(result, result ? 0 : bytes);
            });
    }

    std::shared_ptr<ClientChannel> channel_;
};

} // namespace lycheereach
