/// \file
/// \brief A stretch of the committed log.
#pragma once

#include "log/LogRecord.h"

#include <vector>

namespace lycheereach {

/// What Replica::recordsFrom() found.
struct CommittedRecords
{
    /// The first index asked for is no longer held: start from the latest snapshot.
    bool needsSnapshot_ = false;
    std::vector<LogRecord> records_;

    auto operator==(const CommittedRecords &) const -> bool = default;
};

} // namespace lycheereach
