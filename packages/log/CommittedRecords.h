/// \file
/// \brief A range of committed records.
#pragma once

#include "log/LogRecord.h"

#include <vector>

namespace lycheereach {

/// The result of Replica::recordsFrom().
struct CommittedRecords
{
    /// The first requested record was dropped after a snapshot: start from the latest snapshot.
    bool needsSnapshot_ = false;
    std::vector<LogRecord> records_;

    auto operator==(const CommittedRecords &) const -> bool = default;
};

} // namespace lycheereach
