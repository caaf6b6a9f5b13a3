/// \file
/// \brief Parses the chunks of a streamed chat completion.
#pragma once

#include <optional>
#include <string>

namespace lycheereach {

/// The fields of a chat completion chunk that lycheereach uses.
struct ChatChunk
{
    /// The text of `choices[0].delta.content`; empty when it is missing or null.
    std::string content_;
    bool hasFinishReason_ = false;
    bool hasUsage_ = false;

    auto operator==(const ChatChunk &) const -> bool = default;
};

/// Parses the data of a server-sent event; not set when it is no chat completion chunk.
auto parseChatChunk(const std::string &data) -> std::optional<ChatChunk>;

} // namespace lycheereach
