/// \file
/// \brief Decides whether bytes are the head of an HTTP/1.1 response.
#pragma once

#include "transport/HttpResponse.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Reads the head of the response to one request: RFC 9112, sections 4 and 5.
class HttpAnswerReader
{
public:
    /// Takes a line of the head with its line end; false if the bytes are no response.
    auto takeHeadLine(std::string_view line) -> bool;

    /// Whether the head of a final response has arrived.
    [[nodiscard]] auto isHeadComplete() const -> bool { return isHeadComplete_; }
    /// Status and fields; once isHeadComplete().
    [[nodiscard]] auto head() const -> const HttpResponse & { return head_; }
    /// Whether the response tells where it ends; if not, it ends with its connection.
    [[nodiscard]] auto isDelimited() const -> bool;
    /// Why the bytes are no response; empty while they may be one.
    [[nodiscard]] auto problem() const -> const std::string & { return problem_; }

private:
    auto takeStatusLine(std::string_view text) -> bool;
    auto takeFieldLine(std::string_view text) -> bool;
    auto endHead() -> void;
    auto fail(std::string problem) -> bool;

    std::optional<int> minorVersion_;
    HttpResponse head_;
    bool isHeadComplete_ = false;
    std::string problem_;
};

} // namespace lycheereach
