/// \file
/// \brief Parser for the server-sent events of a streamed chat response.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Parses a streamed chat response incrementally and passes its text to a callback.
class ChatStreamParser
{
public:
    explicit ChatStreamParser(std::function<void(const std::string &)> text);

    /// Parses the next bytes, which may end anywhere within a line.
    auto feed(std::string_view bytes) -> void;
    /// Whether the end marker `data: [DONE]` was received, so that the response is complete.
    [[nodiscard]] auto isComplete() const -> bool { return complete_; }
    /// Whether the callback received any text.
    [[nodiscard]] auto hasText() const -> bool { return hasText_; }
    /// The data of the last error event, a problem document; empty without one.
    [[nodiscard]] auto problemDocument() const -> const std::string & { return problemDocument_; }

private:
    auto parseLine(const std::string &line) -> void;
    auto parseData(const std::string &data) -> void;

    std::function<void(const std::string &)> onText_;
    /// Bytes after the last newline.
    std::string partialLine_;
    /// Whether the current event is of type `error`.
    bool inErrorEvent_ = false;
    bool complete_ = false;
    bool hasText_ = false;
    std::string problemDocument_;
};

} // namespace lycheereach
