/// \file
/// \brief The result of LogStorage::load().
#pragma once

#include "log/LogSnapshot.h"
#include "log/LogState.h"
#include "log/VoterIdentity.h"

#include <optional>
#include <vector>

namespace lycheereach {

/// Everything that a LogStorage holds durably.
struct StoredLog
{
    /// nullopt if the storage is empty.
    std::optional<VoterIdentity> identity_;
    LogState state_;
    LogSnapshot snapshot_;
    /// The records that follow the snapshot, without gaps.
    std::vector<LogRecord> records_;
};

} // namespace lycheereach
