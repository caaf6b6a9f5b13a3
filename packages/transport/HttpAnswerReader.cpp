#include "transport/HttpAnswerReader.h"

#include "transport/HttpSyntax.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr std::uint16_t switchingProtocols = 101;
constexpr std::uint16_t firstFinalStatus = 200;

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
    if (!text->empty())
        return takeFieldLine(*text);
    endHead();
    return true;
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

auto HttpAnswerReader::endHead() -> void
{
    isHeadComplete_ = head_.status_ >= firstFinalStatus;
    if (isHeadComplete_)
        return;
    minorVersion_.reset();
    head_ = {};
}

auto HttpAnswerReader::isDelimited() const -> bool
{
    return isHeadComplete_
        && (head_.headers_.find("Content-Length") || head_.headers_.find("Transfer-Encoding"));
}

} // namespace lycheereach
