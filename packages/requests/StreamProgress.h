/// \file
/// \brief How much of a streamed response the caller has.
#pragma once

#include <cstdint>
#include <string>

namespace lycheereach {

/// How much of a streamed response the caller has.
struct StreamProgress
{
    /// The number of tokens delivered, by all runs.
    std::uint64_t tokens_ = 0;
    /// The text of these tokens.
    std::string text_;
    /// The number of tokens delivered by earlier runs. An upstream numbers the tokens of its run
    /// from 1; the caller sees that number plus this one.
    std::uint64_t earlierRunTokens_ = 0;
    /// Whether the caller has the chunk that precedes the first token (it gives the role).
    bool roleSent_ = false;
    /// Whether the caller has the chunk with the finish reason.
    bool finishReasonSent_ = false;

    auto operator==(const StreamProgress &) const -> bool = default;
};

} // namespace lycheereach
