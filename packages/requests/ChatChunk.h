/// \file
/// \brief What counts of one part of a streamed chat completion.
#pragma once

#include <optional>
#include <string>

namespace lycheereach {

/// What counts of one part of a streamed chat completion.
struct ChatChunk
{
    /// The text of `choices[0].delta.content`.
    std::string content_;
    bool hasFinishReason_ = false;
    bool hasUsage_ = false;

    auto operator==(const ChatChunk &) const -> bool = default;
};

/// Reads the data of an event; nothing when it is no part of a chat completion.
auto parseChatChunk(const std::string &data) -> std::optional<ChatChunk>;

} // namespace lycheereach
