/// \file
/// \brief Puts an upstream's answer together and says whether it is whole.
#pragma once

#include "base/Result.h"
#include "requests/AnswerHead.h"
#include "requests/AnswerKind.h"
#include "requests/StreamProgress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

struct ChatChunk;
struct ServerSentEvent;

/// Reads the answer of one attempt, in parts of any size. Answers of other requests are refused;
/// of a stream the tokens that the caller has are dropped, and a gap is a failure.
class StreamAssembler
{
public:
    StreamAssembler(AnswerKind kind, RequestId request, AttemptId attempt,
                    StreamProgress progress = {});

    /// Takes status and headers; Error::WrongAnswer when they are of another request.
    auto takeHead(const AnswerHead &head) -> Result<Nothing>;
    /// Takes bytes and returns those to deliver now: whole events of a stream, else nothing. What
    /// came before a fault is returned; failure() then says what was wrong.
    auto takeBytes(std::string_view bytes) -> std::string;
    /// The connection ended well; Error::IncompleteAnswer when the answer is not whole.
    auto finish() -> Result<Nothing>;

    /// Whether the answer is whole.
    [[nodiscard]] auto complete() const -> bool { return complete_; }
    /// Whether the answer is a stream of events; an upstream's error is not.
    [[nodiscard]] auto streaming() const -> bool { return streaming_; }
    /// The body of an answer that is no stream.
    [[nodiscard]] auto body() const -> const std::string & { return buffer_; }
    [[nodiscard]] auto progress() const -> const StreamProgress & { return progress_; }
    /// Why the answer will not become whole.
    [[nodiscard]] auto failure() const -> const std::optional<Failure> & { return failure_; }

private:
    /// One event of the stream; what is to be delivered of it.
    auto takeEvent(const ServerSentEvent &event) -> std::string;
    auto takeToken(const ServerSentEvent &event, std::uint64_t number, const ChatChunk &chunk)
        -> std::string;
    auto takeRemark(const ServerSentEvent &event, const ChatChunk &chunk) -> std::string;
    auto fail(Error error, const std::string &message) -> std::string;

    AnswerKind kind_;
    RequestId request_;
    AttemptId attempt_;
    StreamProgress progress_;
    std::string buffer_;
    std::optional<Failure> failure_;
    std::uint16_t status_ = 0;
    bool streaming_ = false;
    bool complete_ = false;
};

} // namespace lycheereach
