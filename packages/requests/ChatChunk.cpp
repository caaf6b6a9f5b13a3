#include "requests/ChatChunk.h"

#include "base/JsonCodec.h"

namespace lycheereach {

namespace {

auto parseChoice(const Json &choice, ChatChunk &chunk) -> bool
{
    if (!choice.is_object())
        return false;
    const auto reason = choice.find("finish_reason");
    chunk.hasFinishReason_ = reason != choice.end() && !reason->is_null();
    const auto delta = choice.find("delta");
    if (delta == choice.end())
        return true;
    if (!delta->is_object())
        return false;
    const auto content = delta->find("content");
    if (content == delta->end() || content->is_null())
        return true;
    if (!content->is_string())
        return false;
    chunk.content_ = content->get<std::string>();
    return true;
}

} // namespace

auto parseChatChunk(const std::string &data) -> std::optional<ChatChunk>
{
    const auto json = parseBoundedJson(data);
    if (!json.is_object())
        return std::nullopt;
    auto chunk = ChatChunk{};
    const auto usage = json.find("usage");
    chunk.hasUsage_ = usage != json.end() && !usage->is_null();
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array())
        return std::nullopt;
    if (!choices->empty() && !parseChoice(choices->front(), chunk))
        return std::nullopt;
    return chunk;
}

} // namespace lycheereach
