#include "transport/SocketHandover.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include <asio/ip/tcp.hpp>

namespace lycheereach {

namespace {

/// `IP:port`, or nothing where it cannot be told.
auto localAddress(int socket) -> std::string
{
    auto endpoint = asio::ip::tcp::endpoint{};
    auto length = static_cast<socklen_t>(endpoint.capacity());
    if (getsockname(socket, endpoint.data(), &length) != 0)
        return {};
    endpoint.resize(length);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

auto SocketHandover::want(const std::string &localAddress, std::function<void(int)> take) -> void
{
    wanted_.insert_or_assign(localAddress, std::move(take));
}

auto SocketHandover::forget(const std::string &localAddress) -> void
{
    wanted_.erase(localAddress);
}

auto SocketHandover::close(int socket) -> int
{
    const auto found = wanted_.empty() ? wanted_.end() : wanted_.find(localAddress(socket));
    if (found == wanted_.end())
        return ::close(socket);
    const auto take = std::move(found->second);
    wanted_.erase(found);
    take(socket);
    return 0;
}

} // namespace lycheereach
