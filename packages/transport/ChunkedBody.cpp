#include "transport/ChunkedBody.h"

#include "transport/HttpSyntax.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto lineLimitBytes = std::size_t{16} * 1024;
constexpr auto trailerLimitBytes = std::size_t{64} * 1024;

} // namespace

auto ChunkedBody::take(std::string_view bytes, const std::function<void(std::string_view)> &part)
    -> std::size_t
{
    const auto size = bytes.size();
    while (!bytes.empty() && !isComplete() && !isMalformed())
        bytes.remove_prefix(state_ == State::Content ? takeContent(bytes, part)
                                                     : takeLinePart(bytes));
    return size - bytes.size();
}

auto ChunkedBody::takeContent(std::string_view bytes,
                              const std::function<void(std::string_view)> &part) -> std::size_t
{
    const auto content = bytes.substr(0, std::min<std::uint64_t>(contentLeft_, bytes.size()));
    part(content);
    contentLeft_ -= content.size();
    if (contentLeft_ == 0)
        state_ = State::ContentEnd;
    return content.size();
}

auto ChunkedBody::takeLinePart(std::string_view bytes) -> std::size_t
{
    const auto lineFeed = bytes.find('\n');
    const auto length = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    line_ += bytes.substr(0, length);
    if (line_.size() > lineLimitBytes) {
        state_ = State::Malformed;
    } else if (lineFeed != std::string_view::npos) {
        // Only the lines of a head may end with LF alone.
        const auto isEnded = line_.ends_with("\r\n");
        state_ = isEnded ? stateAfterLine(std::string_view(line_).substr(0, line_.size() - 2))
                         : State::Malformed;
        line_.clear();
    }
    return length;
}

auto ChunkedBody::stateAfterLine(std::string_view text) -> State
{
    if (state_ == State::ContentEnd)
        return text.empty() ? State::Size : State::Malformed;
    if (state_ == State::Trailer) {
        trailerBytes_ += text.size();
        if (text.empty())
            return State::Complete;
        return parseFieldLine(text) && trailerBytes_ <= trailerLimitBytes ? State::Trailer
                                                                          : State::Malformed;
    }
    const auto size = parseChunkSize(text);
    if (!size)
        return State::Malformed;
    contentLeft_ = *size;
    return *size == 0 ? State::Trailer : State::Content;
}

} // namespace lycheereach
