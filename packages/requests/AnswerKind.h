/// \file
/// \brief What makes an answer whole.
#pragma once

namespace lycheereach {

/// What makes an answer whole.
enum class AnswerKind {
    /// The content length or the last chunk.
    Bytes,
    /// As Bytes, and valid JSON.
    ChatBody,
    /// Server-sent events that end with `data: [DONE]`.
    ChatStream,
};

} // namespace lycheereach
