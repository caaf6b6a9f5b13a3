#include "requests/ResponseAssembler.h"

#include "base/JsonCodec.h"
#include "requests/ChatChunk.h"
#include "requests/ServerSentEvent.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr auto maxEventBytes = std::size_t{1} << 20U;
constexpr auto maxBodyBytes = std::size_t{64} << 20U;
constexpr auto httpOk = 200;

} // namespace

ResponseAssembler::ResponseAssembler(ResponseFraming framing, RequestId request, AttemptId attempt,
                                     StreamProgress progress)
    : framing_(framing)
    , request_(std::move(request))
    , attempt_(std::move(attempt))
    , progress_(std::move(progress))
{ }

auto ResponseAssembler::readHead(const ResponseHead &head) -> Result<Nothing>
{
    if (head.request_ != request_ || head.attempt_ != attempt_) {
        setFailure(Error::WrongAnswer,
                   "the upstream answered request '" + head.request_.text() + "', attempt '"
                       + head.attempt_.text() + "' on the connection of request '" + request_.text()
                       + "', attempt '" + attempt_.text() + "'; the answer was dropped");
        return *failure_;
    }
    status_ = head.status_;
    streaming_ = framing_ == ResponseFraming::ChatStream && status_ == httpOk
        && head.contentType_.starts_with("text/event-stream");
    return Nothing{};
}

auto ResponseAssembler::readBytes(std::string_view bytes) -> std::string
{
    auto toSend = std::string{};
    if (failure_ || complete_)
        return toSend;
    if (status_ == 0)
        return setFailure(Error::WrongAnswer, "bytes came before status and headers");
    buffer_ += bytes;
    if (!streaming_ && buffer_.size() > maxBodyBytes)
        return setFailure(Error::UpstreamFailed, "the answer is longer than 64 MiB");
    if (!streaming_)
        return toSend;
    auto consumed = std::size_t{0};
    while (!failure_ && !complete_) {
        const auto unread = std::string_view(buffer_).substr(consumed);
        const auto length = firstEventLength(unread);
        if (length == 0)
            break;
        toSend += handleEvent(parseServerSentEvent(unread.substr(0, length)));
        consumed += length;
    }
    buffer_.erase(0, consumed);
    if (buffer_.size() > maxEventBytes)
        setFailure(Error::UpstreamFailed, "an event of the stream is longer than 1 MiB");
    return toSend;
}

auto ResponseAssembler::finish() -> Result<Nothing>
{
    if (failure_)
        return *failure_;
    if (complete_)
        return Nothing{};
    if (streaming_ || status_ == 0) {
        setFailure(Error::IncompleteAnswer,
                   "the answer ended behind token " + std::to_string(progress_.tokens_)
                       + " without its end mark");
        return *failure_;
    }
    const auto mustBeJson = framing_ != ResponseFraming::HttpBody && status_ == httpOk;
    if (mustBeJson && !Json::accept(buffer_)) {
        setFailure(Error::IncompleteAnswer, "the answer is no whole JSON document");
        return *failure_;
    }
    complete_ = true;
    return Nothing{};
}

auto ResponseAssembler::handleEvent(const ServerSentEvent &event) -> std::string
{
    if (event.type_ == "error")
        return setFailure(Error::UpstreamFailed,
                          "the upstream broke the stream off: " + event.data_);
    if (event.data_.empty())
        return {};
    if (event.data_ == "[DONE]") {
        complete_ = true;
        return event.serialize(std::nullopt);
    }
    const auto chunk = parseChatChunk(event.data_);
    if (!chunk)
        return setFailure(Error::IncompleteAnswer,
                          "an event of the stream is no chat completion chunk");
    const auto tokenNumber = event.id_ ? progress_.earlierRunTokens_ + *event.id_ : 0;
    if (event.id_ && tokenNumber > progress_.tokens_)
        return handleToken(event, tokenNumber, *chunk);
    if (event.id_.value_or(0) == 0 && !chunk->content_.empty())
        return setFailure(Error::IncompleteAnswer,
                          "an event with text has no id, so that its place in "
                          "the answer is unknown");
    if (event.id_ && tokenNumber < progress_.tokens_)
        return {};
    return handleMetadata(event, *chunk);
}

auto ResponseAssembler::handleToken(const ServerSentEvent &event, std::uint64_t tokenNumber,
                                    const ChatChunk &chunk) -> std::string
{
    if (tokenNumber != progress_.tokens_ + 1)
        return setFailure(Error::IncompleteAnswer,
                          "token " + std::to_string(tokenNumber) + " follows token "
                              + std::to_string(progress_.tokens_)
                              + "; the ones between are missing");
    progress_.tokens_ = tokenNumber;
    progress_.text_ += chunk.content_;
    progress_.roleSent_ = true;
    progress_.finishReasonSent_ = progress_.finishReasonSent_ || chunk.hasFinishReason_;
    return event.serialize(tokenNumber);
}

auto ResponseAssembler::handleMetadata(const ServerSentEvent &event, const ChatChunk &chunk)
    -> std::string
{
    if (!chunk.content_.empty())
        return {};
    const auto callerEventId = event.id_ ? std::optional(progress_.tokens_) : std::nullopt;
    if (chunk.hasFinishReason_) {
        const auto isRepeated = std::exchange(progress_.finishReasonSent_, true);
        return isRepeated ? std::string{} : event.serialize(callerEventId);
    }
    if (chunk.hasUsage_)
        return event.serialize(callerEventId);
    const auto isRepeated = std::exchange(progress_.roleSent_, true);
    return isRepeated ? std::string{} : event.serialize(callerEventId);
}

auto ResponseAssembler::setFailure(Error error, const std::string &message) -> std::string
{
    failure_ = Failure{error, message, Verdict::MayHaveRun, std::nullopt};
    return {};
}

} // namespace lycheereach
