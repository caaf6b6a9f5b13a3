#include "transport/UploadTail.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace lycheereach {

namespace {

auto hasError(int socket) -> bool
{
    auto error = 0;
    auto length = static_cast<socklen_t>(sizeof error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0;
}

auto unacknowledgedBytes(int socket) -> int
{
    auto bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

} // namespace

UploadTail::UploadTail(int socket, std::string_view rest)
    : socket_(socket)
    , rest_(rest)
{ }

UploadTail::~UploadTail()
{
    close(socket_);
}

auto UploadTail::advance() -> State
{
    while (!rest_.empty()) {
        const auto sent = send(socket_, rest_.data(), rest_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
            return errno == EAGAIN || errno == EINTR ? State::Sending : State::Broken;
        rest_.remove_prefix(static_cast<std::size_t>(sent));
    }
    // Asked first: what a reset drops from the queue would pass for acknowledged.
    const auto isOnItsWay = unacknowledgedBytes(socket_) > 0;
    if (hasError(socket_))
        return State::Broken;
    return isOnItsWay ? State::Sending : State::Received;
}

} // namespace lycheereach
