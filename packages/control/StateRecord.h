/// \file
/// \brief A committed record as sent to an entry without a log.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// A committed record as sent to an entry without a log.
struct StateRecord
{
    LogIndex index_ = 0;
    /// The encoded command; empty for a record of another kind, such as a change of voters.
    std::string command_;

    auto operator==(const StateRecord &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("index", &StateRecord::index_),
                          field("command", &StateRecord::command_)};
    }
};

} // namespace lycheereach
