/// \file
/// \brief The actions that LogCore asks its owner to carry out, in order.
#pragma once

#include "log/LogMessage.h"
#include "log/LogState.h"

#include <optional>
#include <variant>
#include <vector>

namespace lycheereach {

/// Stage these writes, in the order of the members.
struct StageWrites
{
    LogState state_;
    /// The last index to keep; nullopt to drop nothing.
    std::optional<LogIndex> truncateAfter_;
    std::vector<LogRecord> records_;
};

/// Sync the staged writes, then call LogCore::onSynced(). If the sync fails, drop the SendMessage
/// actions that follow.
struct SyncWrites
{
    /// The last index of the log at the time of the action.
    LogIndex lastIndex_ = 0;
};

/// Replace the stored log by LogCore's snapshot and the records after it, then restore the state
/// machine.
struct InstallSnapshot
{ };

/// Send a message; delivery is not required.
struct SendMessage
{
    EntryId to_;
    LogMessage message_;
};

/// Apply committed records.
struct ApplyRecords
{
    std::vector<LogRecord> records_;
};

using LogAction = std::variant<StageWrites, SyncWrites, InstallSnapshot, SendMessage, ApplyRecords>;

} // namespace lycheereach
