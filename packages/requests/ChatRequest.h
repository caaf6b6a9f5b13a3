/// \file
/// \brief The body of a chat completion request.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// What lycheereach reads of a chat completion request; other keys are the engine's.
struct ChatRequest
{
    std::string model_;
    bool stream_ = false;
    std::optional<std::uint64_t> maxTokens_;
    /// The whole body.
    Json body_;

    auto operator==(const ChatRequest &) const -> bool = default;
};

/// Reads a body; the failure names the JSON path of the fault.
auto parseChatRequest(std::string_view body) -> Result<ChatRequest>;
/// The body of a request that goes on behind \a textSoFar, of which \a tokens tokens.
auto continuedBody(const ChatRequest &request, const std::string &textSoFar, std::uint64_t tokens)
    -> std::string;

} // namespace lycheereach
