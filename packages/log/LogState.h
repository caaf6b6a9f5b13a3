/// \file
/// \brief The durable state of a replica besides its records.
#pragma once

#include "base/Ids.h"

#include <string>

namespace lycheereach {

/// Term and vote are synced before any message that depends on them.
struct LogState
{
    Term term_ = 0;
    /// The candidate that this replica voted for in term_; empty if none.
    EntryId votedFor_;
    /// The id of the cluster that this replica belongs to; empty while it belongs to none.
    std::string cluster_;
    /// The commit index that this replica knew at the time of writing; never ahead of the
    /// cluster's.
    LogIndex commitIndex_ = 0;

    auto operator==(const LogState &) const -> bool = default;
};

} // namespace lycheereach
