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
    /// The candidate that got this replica's vote in term_; empty for none.
    EntryId votedFor_;
    /// The cluster that this replica is part of; empty while it is blank.
    std::string cluster_;
    /// A commit index known at the time of writing; never ahead of the true one.
    LogIndex commitIndex_ = 0;

    auto operator==(const LogState &) const -> bool = default;
};

} // namespace lycheereach
