#include "transport/HttpAnswerReader.h"

#include "transport/HttpSyntax.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

constexpr std::uint16_t switchingProtocols = 101;
constexpr std::uint16_t firstFinalStatus = 200;
constexpr std::uint16_t noContent = 204;
constexpr std::uint16_t notModified = 304;

} // namespace

auto HttpAnswerReader::fail(std::string problem) -> bool
{
    problem_ = std::move(problem);
    return false;
}

auto HttpAnswerReader::takeHeadLine(std::string_view line) -> bool
{
    if (!problem_.empty())
        return false;
    const auto text = withoutLineEnd(line);
    if (!text || isHeadComplete())
        return fail("a line that is not part of the head");
    if (!minorVersion_)
        return takeStatusLine(*text);
    return text->empty() ? endHead() : takeFieldLine(*text);
}

auto HttpAnswerReader::takeStatusLine(std::string_view text) -> bool
{
    const auto line = parseStatusLine(text);
    if (!line)
        return fail("a malformed status line");
    // The request did not ask for another protocol.
    if (line->status_ == switchingProtocols)
        return fail("an unexpected switch of protocols");
    minorVersion_ = line->minorVersion_;
    head_.status_ = line->status_;
    return true;
}

auto HttpAnswerReader::takeFieldLine(std::string_view text) -> bool
{
    auto field = parseFieldLine(text);
    if (!field)
        return fail("a malformed header field");
    head_.headers_.add(std::move(field->name_), std::move(field->value_));
    return true;
}

auto HttpAnswerReader::endHead() -> bool
{
    if (head_.status_ < firstFinalStatus) {
        minorVersion_.reset();
        head_ = {};
        return true;
    }
    framing_ = Framing::Connection;
    if (!takeLength() || !takeCoding()) {
        framing_.reset();
        return false;
    }
    if (!hasBody()) {
        framing_ = Framing::Length;
        bodyLeft_ = 0;
    }
    return true;
}

auto HttpAnswerReader::hasBody() const -> bool
{
    return !answersHead_ && head_.status_ != noContent && head_.status_ != notModified;
}

auto HttpAnswerReader::takeLength() -> bool
{
    if (!head_.headers_.find("Content-Length"))
        return true;
    const auto lengths = listElements(head_.headers_, "Content-Length");
    const auto isRepeated
        = std::equal(lengths.begin() + (lengths.empty() ? 0 : 1), lengths.end(), lengths.begin());
    const auto length = lengths.empty() ? std::nullopt : parseLength(lengths.front());
    if (!isRepeated || !length)
        return fail("a Content-Length that is no length");
    framing_ = Framing::Length;
    bodyLeft_ = *length;
    return true;
}

auto HttpAnswerReader::takeCoding() -> bool
{
    if (!head_.headers_.find("Transfer-Encoding"))
        return true;
    const auto codings = listElements(head_.headers_, "Transfer-Encoding");
    if (codings.size() != 1 || !isSameFieldName(codings.front(), "chunked"))
        return fail("a Transfer-Encoding other than chunked");
    if (minorVersion_ == 0)
        return fail("a Transfer-Encoding in a response of HTTP/1.0");
    if (framing_ == Framing::Length)
        return fail("both a Content-Length and a Transfer-Encoding");
    framing_ = Framing::Chunks;
    return true;
}

auto HttpAnswerReader::isDelimited() const -> bool
{
    return framing_ && framing_ != Framing::Connection;
}

auto HttpAnswerReader::isWhole() const -> bool
{
    if (!problem_.empty())
        return false;
    if (framing_ == Framing::Chunks)
        return chunks_.isComplete();
    return framing_ == Framing::Length && bodyLeft_ == 0;
}

auto HttpAnswerReader::takeBody(std::string_view bytes, const PartSink &part) -> bool
{
    if (!problem_.empty())
        return false;
    if (!isHeadComplete())
        return fail("a body without a head");
    auto taken = bytes.size();
    if (framing_ == Framing::Chunks) {
        taken = chunks_.take(bytes, part);
        if (chunks_.isMalformed())
            return fail("a malformed chunk");
    } else {
        if (framing_ == Framing::Length)
            taken = std::min<std::uint64_t>(taken, bodyLeft_);
        if (taken > 0)
            part(bytes.substr(0, taken));
        bodyLeft_ -= framing_ == Framing::Length ? taken : 0;
    }
    hasExcess_ = hasExcess_ || taken < bytes.size();
    return true;
}

} // namespace lycheereach
