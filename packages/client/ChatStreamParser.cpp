#include "client/ChatStreamParser.h"

#include "base/JsonCodec.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr auto dataPrefix = std::string_view("data: ");
constexpr auto errorEventLine = std::string_view("event: error");
constexpr auto endMarker = std::string_view("[DONE]");

/// The text of one chat completion chunk; empty when it has none.
auto chunkText(const std::string &data) -> std::string
{
    const auto pointer = Json::json_pointer("/choices/0/delta/content");
    const auto chunk = parseJson(data, "chunk");
    if (!chunk || !chunk->contains(pointer) || !chunk->at(pointer).is_string())
        return "";
    return chunk->at(pointer).get<std::string>();
}

} // namespace

ChatStreamParser::ChatStreamParser(std::function<void(const std::string &)> text)
    : onText_(std::move(text))
{ }

auto ChatStreamParser::feed(std::string_view bytes) -> void
{
    partialLine_ += bytes;
    auto end = partialLine_.find('\n');
    while (end != std::string::npos) {
        auto line = partialLine_.substr(0, end);
        partialLine_.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        parseLine(line);
        end = partialLine_.find('\n');
    }
}

auto ChatStreamParser::parseLine(const std::string &line) -> void
{
    if (line.empty())
        inErrorEvent_ = false;
    else if (line == errorEventLine)
        inErrorEvent_ = true;
    else if (line.starts_with(dataPrefix))
        parseData(line.substr(dataPrefix.size()));
}

auto ChatStreamParser::parseData(const std::string &data) -> void
{
    if (inErrorEvent_) {
        problemDocument_ = data;
        return;
    }
    if (data == endMarker) {
        complete_ = true;
        return;
    }
    const auto text = chunkText(data);
    if (text.empty())
        return;
    hasText_ = true;
    onText_(text);
}

} // namespace lycheereach
