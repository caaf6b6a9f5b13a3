/// \file
/// \brief Reassembles an upstream's response and checks that it is complete.
#pragma once

#include "base/Result.h"
#include "requests/ResponseFraming.h"
#include "requests/ResponseHead.h"
#include "requests/StreamProgress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

struct ChatChunk;
struct ServerSentEvent;

/// Reads the response to one attempt, in parts of any size. A response that belongs to another
/// request is rejected. In a stream, tokens that the caller already has are dropped, and a missing
/// token is a failure.
class ResponseAssembler
{
public:
    ResponseAssembler(ResponseFraming framing, RequestId request, AttemptId attempt,
                      StreamProgress progress = {});

    /// Reads status and headers; Error::WrongAnswer when they belong to another request.
    auto readHead(const ResponseHead &head) -> Result<Nothing>;
    /// Reads body bytes and returns those to send to the caller now: complete events of a stream,
    /// otherwise nothing. When an event is invalid, the events before it are returned and failure()
    /// is set.
    auto readBytes(std::string_view bytes) -> std::string;
    /// Call when the connection ended without an error; Error::IncompleteAnswer when the response
    /// is incomplete.
    auto finish() -> Result<Nothing>;

    /// Whether the response is complete.
    [[nodiscard]] auto complete() const -> bool { return complete_; }
    /// Whether the response is a stream of events; false for an error response.
    [[nodiscard]] auto streaming() const -> bool { return streaming_; }
    /// The body of a response that is no stream.
    [[nodiscard]] auto body() const -> const std::string & { return buffer_; }
    [[nodiscard]] auto progress() const -> const StreamProgress & { return progress_; }
    /// Why the response can't become complete; not set while it can.
    [[nodiscard]] auto failure() const -> const std::optional<Failure> & { return failure_; }

private:
    /// Handles one event of the stream and returns the bytes to send to the caller.
    auto handleEvent(const ServerSentEvent &event) -> std::string;
    /// Handles an event with the token \a tokenNumber, counted over all runs.
    auto handleToken(const ServerSentEvent &event, std::uint64_t tokenNumber,
                     const ChatChunk &chunk) -> std::string;
    /// Handles an event without a new token: the role, the finish reason or the token usage.
    auto handleMetadata(const ServerSentEvent &event, const ChatChunk &chunk) -> std::string;
    /// Sets failure_; returns an empty string, so that there is nothing to send.
    auto setFailure(Error error, const std::string &message) -> std::string;

    ResponseFraming framing_;
    RequestId request_;
    AttemptId attempt_;
    StreamProgress progress_;
    /// Of a stream the bytes after the last complete event, otherwise the body.
    std::string buffer_;
    std::optional<Failure> failure_;
    /// The HTTP status; 0 before readHead().
    std::uint16_t status_ = 0;
    bool streaming_ = false;
    bool complete_ = false;
};

} // namespace lycheereach
