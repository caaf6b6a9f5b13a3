/// \file
/// \brief Decides whether bytes are an HTTP/1.1 response and whether it is whole.
#pragma once

#include "transport/ChunkedBody.h"
#include "transport/HttpResponse.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Reads the response to one request: RFC 9112, sections 4 to 8. The only place that decides
/// whether bytes are a response and where its body ends; what is passed on is what it has read.
class HttpAnswerReader
{
public:
    /// Gets each part of the body, without its framing.
    using PartSink = std::function<void(std::string_view)>;

    /// \a answersHead: whether the request is a HEAD request, whose response has no body.
    explicit HttpAnswerReader(bool answersHead)
        : answersHead_(answersHead)
    { }

    /// Takes a line of the head with its line end; false if the bytes are no response.
    auto takeHeadLine(std::string_view line) -> bool;
    /// Takes bytes behind the head; false if they are no body of the response.
    auto takeBody(std::string_view bytes, const PartSink &part) -> bool;

    /// Whether the head of a final response has arrived.
    [[nodiscard]] auto isHeadComplete() const -> bool { return framing_.has_value(); }
    /// Status and fields; once isHeadComplete().
    [[nodiscard]] auto head() const -> const HttpResponse & { return head_; }
    /// Whether the response tells where it ends; if not, it ends with its connection.
    [[nodiscard]] auto isDelimited() const -> bool;
    /// Whether all of a delimited response has arrived.
    [[nodiscard]] auto isWhole() const -> bool;
    /// Whether bytes have arrived behind the end of the response.
    [[nodiscard]] auto hasExcess() const -> bool { return hasExcess_; }
    /// Why the bytes are no response; empty while they may be one.
    [[nodiscard]] auto problem() const -> const std::string & { return problem_; }

private:
    /// How the end of the body is found: RFC 9112, section 6.3.
    enum class Framing { Length, Chunks, Connection };

    auto takeStatusLine(std::string_view text) -> bool;
    auto takeFieldLine(std::string_view text) -> bool;
    auto endHead() -> bool;
    auto hasBody() const -> bool;
    auto takeLength() -> bool;
    auto takeCoding() -> bool;
    auto fail(std::string problem) -> bool;

    bool answersHead_;
    std::optional<int> minorVersion_;
    HttpResponse head_;
    std::optional<Framing> framing_;
    std::uint64_t bodyLeft_ = 0;
    ChunkedBody chunks_;
    bool hasExcess_ = false;
    std::string problem_;
};

} // namespace lycheereach
