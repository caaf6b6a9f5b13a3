/// \file
/// \brief The rest of a request whose response has ended with its side of the connection.
#pragma once

#include <cstddef>
#include <string_view>

namespace lycheereach {

/// Sends the rest of a request body after the upstream has ended its side of the connection.
///
/// A response that ends with its connection is complete unless the connection breaks (RFC 9112,
/// section 8). The end may come while the body of the request is still on its way, from an upstream
/// that does not want the body and reads on, or from one that resets the connection next; what
/// becomes of the body tells them apart.
class UploadTail
{
public:
    enum class State {
        /// Bytes are still on their way.
        Sending,
        /// The upstream's system has acknowledged all bytes.
        Received,
        /// The connection was reset.
        Broken
    };

    /// Owns \a socket, which is connected and does not block; \a rest has to outlive it.
    UploadTail(int socket, std::string_view rest);
    ~UploadTail();
    UploadTail(const UploadTail &) = delete;
    auto operator=(const UploadTail &) -> UploadTail & = delete;

    /// Sends what the socket takes.
    auto advance() -> State;
    [[nodiscard]] auto socket() const -> int { return socket_; }
    /// How many bytes the socket has not taken.
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return rest_.size(); }

private:
    int socket_;
    std::string_view rest_;
};

} // namespace lycheereach
