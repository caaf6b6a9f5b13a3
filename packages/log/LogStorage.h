/// \file
/// \brief The disk of a replica.
#pragma once

#include "base/Result.h"
#include "log/StoredLog.h"

#include <cstddef>
#include <vector>

namespace lycheereach {

/// Staged writes become durable together and in order by sync(). A failure with Error::DiskFull
/// leaves the staged writes staged, and sync() may be called again; after any other failure the
/// disk counts as failed.
class LogStorage
{
public:
    LogStorage() = default;
    LogStorage(const LogStorage &) = delete;
    auto operator=(const LogStorage &) -> LogStorage & = delete;
    virtual ~LogStorage() = default;

    /// Reads everything; cuts a torn tail and refuses corruption elsewhere.
    virtual auto load() -> Result<StoredLog> = 0;
    /// Durable on return.
    virtual auto writeIdentity(const VoterIdentity &identity) -> Result<Nothing> = 0;
    virtual auto stageState(const LogState &state) -> void = 0;
    /// Drops the records after \a index.
    virtual auto stageTruncation(LogIndex index) -> void = 0;
    virtual auto stageRecords(const std::vector<LogRecord> &records) -> void = 0;
    virtual auto sync() -> Result<Nothing> = 0;
    /// Replaces everything stored, staged writes included, by the arguments; durable on return.
    virtual auto writeSnapshot(const LogSnapshot &snapshot, const LogState &state,
                               const std::vector<LogRecord> &following) -> Result<Nothing> = 0;
    /// Whether \a bytes more fit with the reserve for terms and votes left over.
    [[nodiscard]] virtual auto hasFreeSpace(std::size_t bytes) const -> bool = 0;
};

} // namespace lycheereach
