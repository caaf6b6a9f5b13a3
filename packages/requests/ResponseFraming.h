/// \file
/// \brief How the end of a complete response is recognized.
#pragma once

namespace lycheereach {

/// How the end of a complete response is recognized.
enum class ResponseFraming {
    /// By the content length or the last chunk of the HTTP body.
    HttpBody,
    /// As HttpBody; the body must also be valid JSON.
    ChatBody,
    /// By the server-sent event `data: [DONE]`.
    ChatStream,
};

} // namespace lycheereach
