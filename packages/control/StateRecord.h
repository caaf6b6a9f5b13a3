/// \file
/// \brief A committed record on its way to an entry that keeps no log.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// A committed record on its way to an entry that keeps no log.
struct StateRecord
{
    LogIndex index_ = 0;
    /// The command; empty for a record that is none.
    std::string command_;

    auto operator==(const StateRecord &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("index", &StateRecord::index_),
                          field("command", &StateRecord::command_)};
    }
};

} // namespace lycheereach
