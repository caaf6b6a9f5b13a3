/// \file
/// \brief The answer that a server is giving.
#pragma once

#include "transport/HttpResponse.h"

#include <functional>
#include <string>
#include <system_error>

namespace lycheereach {

/// The answer to one request: either send(), or begin(), any number of write() and finish().
/// Thread-safe. Dropped without send() or finish(), the connection is closed, so that a caller
/// never takes a broken answer for a whole one.
class HttpReply
{
public:
    /// Told when bytes have gone to the caller, or the error that means the caller is gone.
    using Written = std::function<void(std::error_code)>;

    virtual ~HttpReply() = default;
    /// Sends a whole answer.
    virtual auto send(HttpResponse response) -> void = 0;
    /// Begins a chunked answer; the body of \a head is its first part.
    virtual auto begin(HttpResponse head) -> void = 0;
    /// Sends and flushes one part.
    virtual auto write(std::string part, Written written) -> void = 0;
    /// Ends a chunked answer.
    virtual auto finish() -> void = 0;
    /// Closes the connection without ending the answer.
    virtual auto abort() -> void = 0;
    /// Has \a closed called once when the connection is closed before the answer is whole; at once
    /// when it is closed already.
    virtual auto onClosed(std::function<void()> closed) -> void = 0;
    /// The `IP:port` of the caller.
    [[nodiscard]] virtual auto remoteAddress() const -> std::string = 0;
};

} // namespace lycheereach
