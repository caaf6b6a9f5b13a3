/// \file
/// \brief A decoder of the chunked transfer coding.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Decodes a body in the chunked transfer coding: RFC 9112, section 7.1. Extensions and trailer
/// fields are checked and dropped.
class ChunkedBody
{
public:
    /// Takes encoded bytes and passes on the content; returns how many bytes belong to the body,
    /// fewer than given once it is complete or malformed.
    auto take(std::string_view bytes, const std::function<void(std::string_view)> &part)
        -> std::size_t;
    [[nodiscard]] auto isComplete() const -> bool { return state_ == State::Complete; }
    [[nodiscard]] auto isMalformed() const -> bool { return state_ == State::Malformed; }

private:
    enum class State { Size, Content, ContentEnd, Trailer, Complete, Malformed };

    auto takeContent(std::string_view bytes, const std::function<void(std::string_view)> &part)
        -> std::size_t;
    auto takeLinePart(std::string_view bytes) -> std::size_t;
    /// The state behind the line in \a text.
    auto stateAfterLine(std::string_view text) -> State;

    State state_ = State::Size;
    /// The bytes of a line so far.
    std::string line_;
    std::size_t trailerBytes_ = 0;
    /// The bytes of the chunk that are still to come.
    std::uint64_t contentLeft_ = 0;
};

} // namespace lycheereach
