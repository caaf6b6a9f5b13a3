/// \file
/// \brief How far a caller's stream has come.
#pragma once

#include "base/Ids.h"

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
    /// The last attempt that delivered tokens, where it ran, and how many tokens the caller had
    /// before the first run of that attempt.
    AttemptId attempt_;
    std::string target_;
    std::uint64_t base_ = 0;
    /// Whether the caller has the event with the finish reason.
    bool finishSeen_ = false;

    auto operator==(const StreamProgress &) const -> bool = default;
};

} // namespace lycheereach
