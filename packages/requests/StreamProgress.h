/// \file
/// \brief How far a caller's stream has come.
#pragma once

#include <cstdint>
#include <string>

namespace lycheereach {

/// How far a caller's stream has come.
struct StreamProgress
{
    /// Tokens delivered.
    std::uint64_t tokens_ = 0;
    /// Their text.
    std::string text_;
    /// Tokens delivered before the run that the attempt belongs to; its own numbers start behind.
    std::uint64_t base_ = 0;
    /// Whether the caller has the event before the first token.
    bool openingSeen_ = false;
    /// Whether the caller has the event with the finish reason.
    bool finishSeen_ = false;

    auto operator==(const StreamProgress &) const -> bool = default;
};

} // namespace lycheereach
