/// \file
/// \brief What a LogStorage found when it was opened.
#pragma once

#include "log/LogSnapshot.h"
#include "log/LogState.h"
#include "log/VoterIdentity.h"

#include <optional>
#include <vector>

namespace lycheereach {

/// Everything that survived the last process.
struct StoredLog
{
    /// Nothing on an empty folder.
    std::optional<VoterIdentity> identity_;
    LogState state_;
    LogSnapshot snapshot_;
    /// The records that follow the snapshot, without gaps.
    std::vector<LogRecord> records_;
};

} // namespace lycheereach
