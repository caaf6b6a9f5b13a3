/// \file
/// \brief A snapshot of the state machine, which replaces a prefix of the log.
#pragma once

#include "log/LogRecord.h"
#include "log/VoterSet.h"

#include <string>

namespace lycheereach {

/// The state after the record at position_; index 0 is the empty state.
struct LogSnapshot
{
    LogPosition position_;
    /// The voters as of position_.
    VoterSet voters_;
    /// The serialized state machine, as UTF-8 text.
    std::string bytes_;

    auto operator==(const LogSnapshot &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("position", &LogSnapshot::position_),
                          field("voters", &LogSnapshot::voters_),
                          field("bytes", &LogSnapshot::bytes_)};
    }
};

} // namespace lycheereach
