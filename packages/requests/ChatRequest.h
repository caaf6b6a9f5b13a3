/// \file
/// \brief The body of a chat completion request.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// A parsed chat completion request. The engine interprets the keys of the body that have no
/// member here.
struct ChatRequest
{
    std::string model_;
    bool stream_ = false;
    std::optional<std::uint64_t> maxTokens_;
    /// The complete body.
    Json body_;

    auto operator==(const ChatRequest &) const -> bool = default;
};

/// Parses and validates a body; the failure names the JSON path of the invalid value.
auto parseChatRequest(std::string_view body) -> Result<ChatRequest>;
/// The body of a request that continues the completion after \a textSoFar, which has \a tokens
/// tokens: the text is added as an assistant message, and `max_tokens` is reduced.
auto continuationBody(const ChatRequest &request, const std::string &textSoFar,
                      std::uint64_t tokens) -> std::string;

} // namespace lycheereach
