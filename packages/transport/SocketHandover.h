/// \file
/// \brief Sockets that libcurl closes while a transfer still needs them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lycheereach {

/// Hands sockets that libcurl is about to close to the transfers that want them.
class SocketHandover
{
public:
    /// Gives the socket with this local address, `IP:port`, to \a take, which closes it.
    auto want(const std::string &localAddress, std::function<void(int socket)> take) -> void;
    auto forget(const std::string &localAddress) -> void;
    /// Hands \a socket over, or closes it.
    auto close(int socket) -> int;

private:
    std::map<std::string, std::function<void(int socket)>> wanted_;
};

} // namespace lycheereach
