/// \file
/// \brief What LogCore wants done, in order.
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
    std::optional<LogIndex> truncateAfter_;
    std::vector<LogRecord> records_;
};

/// Sync what is staged, then tell LogCore::synced(). When it fails, drop the sends that follow.
struct SyncWrites
{
    LogIndex lastIndex_ = 0;
};

/// Replace the stored log by the snapshot and what follows it, then restore the state machine.
struct InstallSnapshot
{ };

/// Send a message; it may get lost.
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
