#include "transport/TcpListener.h"

#include <chrono>
#include <utility>

namespace lycheereach {

namespace {

/// The wait after a failed accept, for example for want of file descriptors.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

TcpListener::TcpListener(asio::io_context &context, Accepted accepted)
    : accepted_(std::move(accepted))
    , acceptor_(context)
    , retryTimer_(context)
{ }

auto TcpListener::listen(const asio::ip::tcp::endpoint &endpoint, std::size_t receiveBufferBytes)
    -> std::error_code
{
    if (const auto error = open(endpoint, receiveBufferBytes)) {
        close();
        return error;
    }
    acceptNext();
    return {};
}

auto TcpListener::close() -> void
{
    for (auto &socket : takeWaitingAndClose())
        handOver(std::move(socket));
}

auto TcpListener::takeWaitingAndClose() -> std::vector<asio::ip::tcp::socket>
{
    auto waiting = std::vector<asio::ip::tcp::socket>{};
    const auto lock = std::scoped_lock(mutex_);
    auto error = std::error_code{};
    acceptor_.non_blocking(true, error);
    while (!error) {
        auto socket = acceptor_.accept(error);
        if (!error)
            waiting.push_back(std::move(socket));
    }
    acceptor_.close(error);
    retryTimer_.cancel();
    return waiting;
}

auto TcpListener::handOver(asio::ip::tcp::socket socket) -> void
{
    const auto lock = std::scoped_lock(acceptedMutex_);
    accepted_(std::move(socket));
}

auto TcpListener::port() const -> std::uint16_t
{
    const auto lock = std::scoped_lock(mutex_);
    return port_;
}

auto TcpListener::open(const asio::ip::tcp::endpoint &endpoint, std::size_t receiveBufferBytes)
    -> std::error_code
{
    const auto lock = std::scoped_lock(mutex_);
    auto error = std::error_code{};
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error && receiveBufferBytes > 0)
        acceptor_.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(receiveBufferBytes)), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        port_ = acceptor_.local_endpoint(error).port();
    return error;
}

auto TcpListener::acceptNext() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (!acceptor_.is_open())
        return;
    acceptor_.async_accept(
        [self = shared_from_this()](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                self->retryAccept();
                return;
            }
            self->handOver(std::move(socket));
            self->acceptNext();
        });
}

auto TcpListener::retryAccept() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (!acceptor_.is_open())
        return;
    retryTimer_.expires_after(acceptRetryDelay);
    retryTimer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error)
            self->acceptNext();
    });
}

} // namespace lycheereach
