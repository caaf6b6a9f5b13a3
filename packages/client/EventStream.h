/// \file
/// \brief Reading the server-sent events of a streamed chat answer.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Takes the parts of a streamed answer and hands on its text.
class EventStream
{
public:
    explicit EventStream(std::function<void(const std::string &)> text);

    /// Takes the next bytes.
    auto feed(std::string_view bytes) -> void;
    /// Whether the end mark `data: [DONE]` was there, so that the answer is whole.
    [[nodiscard]] auto isWhole() const -> bool { return whole_; }
    /// Whether any text was handed on.
    [[nodiscard]] auto hasText() const -> bool { return hasText_; }
    /// The problem document of an error event; empty without one.
    [[nodiscard]] auto problem() const -> const std::string & { return problem_; }

private:
    auto takeLine(const std::string &line) -> void;
    auto takeData(const std::string &data) -> void;

    std::function<void(const std::string &)> text_;
    std::string pending_;
    bool isError_ = false;
    bool whole_ = false;
    bool hasText_ = false;
    std::string problem_;
};

} // namespace lycheereach
