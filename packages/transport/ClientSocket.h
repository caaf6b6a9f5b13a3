/// \file
/// \brief The socket of a client's connection, as RESTinio uses it.
#pragma once

#include "transport/ClientChannel.h"
#include "transport/ConnectionUsage.h"

#include <memory>
#include <system_error>
#include <utility>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

namespace lycheereach {

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
