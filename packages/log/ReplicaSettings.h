/// \file
/// \brief The settings of a replica.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace lycheereach {

struct ReplicaSettings
{
    EntryId self_;
    /// The voters that bootstrap a new cluster; ignored afterwards.
    std::vector<EntryId> initialVoters_;
    Duration heartbeatInterval_ = std::chrono::milliseconds(50);
    /// An election starts after one to two election timeouts without a leader.
    Duration electionTimeout_ = std::chrono::milliseconds(500);
    /// A snapshot is taken after this many applied records.
    std::size_t snapshotAfterRecords_ = 2000;
    /// The most payload bytes of a message with several records; a single record may be larger.
    std::size_t appendLimitBytes_ = 256 * std::size_t(1024);
};

} // namespace lycheereach
