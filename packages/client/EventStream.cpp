#include "client/EventStream.h"

#include "base/JsonCodec.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr auto dataPrefix = std::string_view("data: ");
constexpr auto errorLine = std::string_view("event: error");
constexpr auto endMark = std::string_view("[DONE]");

/// The text that one chunk of the dialect carries.
auto chunkText(const std::string &data) -> std::string
{
    const auto pointer = Json::json_pointer("/choices/0/delta/content");
    const auto chunk = parseJson(data, "chunk");
    if (!chunk || !chunk->contains(pointer) || !chunk->at(pointer).is_string())
        return "";
    return chunk->at(pointer).get<std::string>();
}

} // namespace

EventStream::EventStream(std::function<void(const std::string &)> text)
    : text_(std::move(text))
{ }

auto EventStream::feed(std::string_view bytes) -> void
{
    pending_ += bytes;
    auto end = pending_.find('\n');
    while (end != std::string::npos) {
        auto line = pending_.substr(0, end);
        pending_.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        takeLine(line);
        end = pending_.find('\n');
    }
}

auto EventStream::takeLine(const std::string &line) -> void
{
    if (line.empty())
        isError_ = false;
    else if (line == errorLine)
        isError_ = true;
    else if (line.starts_with(dataPrefix))
        takeData(line.substr(dataPrefix.size()));
}

auto EventStream::takeData(const std::string &data) -> void
{
    if (isError_) {
        problem_ = data;
        return;
    }
    if (data == endMark) {
        whole_ = true;
        return;
    }
    const auto text = chunkText(data);
    if (text.empty())
        return;
    hasText_ = true;
    text_(text);
}

} // namespace lycheereach
