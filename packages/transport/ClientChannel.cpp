#include "transport/ClientChannel.h"

#include <asio/post.hpp>

namespace lycheereach {

namespace {

/// Bounds for what is read behind a refused request.
constexpr auto discardTime = std::chrono::seconds(1);
constexpr std::size_t discardBytes = std::size_t{1024} * 1024;
constexpr std::size_t discardBufferBytes = 4096;

} // namespace

ClientChannel::ClientChannel(Strand strand, asio::ip::tcp::socket socket)
    : strand_(std::move(strand))
    , socket_(std::move(socket))
    , timer_(strand_)
{ }

auto ClientChannel::reset() -> void
{
    isReset_ = true;
    asio::post(strand_, [self = shared_from_this()] {
        auto ignored = std::error_code{};
        if (self->isReleased_)
            self->closeNow();
        else if (self->socket_.is_open())
            self->socket_.cancel(ignored);
    });
}

auto ClientChannel::resultOf(const std::error_code &error) const -> std::error_code
{
    // RESTinio takes a cancelled operation for one that it has cancelled itself.
    return isReset_ ? asio::error::make_error_code(asio::error::connection_reset) : error;
}

auto ClientChannel::close() -> void
{
    if (isReleased_ || !socket_.is_open())
        return;
    isReleased_ = true;
    auto ignored = std::error_code{};
    if (!input_->refusal() || isReset_) {
        closeNow();
        return;
    }
    socket_.cancel(ignored);
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    discarded_.resize(discardBufferBytes);
    discardableBytes_ = discardBytes;
    timer_.expires_after(discardTime);
    timer_.async_wait(
        asio::bind_executor(strand_, [self = shared_from_this()](const std::error_code &error) {
            if (!error)
                self->closeNow();
        }));
    discardMore();
}

auto ClientChannel::discardMore() -> void
{
    socket_.async_read_some(
        asio::buffer(discarded_),
        asio::bind_executor(
            strand_, [self = shared_from_this()](const std::error_code &error, std::size_t bytes) {
                if (error || bytes >= self->discardableBytes_) {
                    self->closeNow();
                    return;
                }
                self->discardableBytes_ -= bytes;
                self->discardMore();
            }));
}

auto ClientChannel::closeNow() -> void
{
    auto ignored = std::error_code{};
    timer_.cancel();
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

} // namespace lycheereach
