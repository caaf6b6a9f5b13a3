/// \file
/// \brief The durable storage of a replica.
#pragma once

#include "base/Result.h"
#include "log/StoredLog.h"

#include <cstddef>
#include <vector>

namespace lycheereach {

/// sync() makes the staged writes durable, together and in order. If it fails with Error::DiskFull,
/// the writes stay staged and sync() may be called again. After any other failure the content of
/// the files is uncertain and sync() fails until writeSnapshot() has replaced them.
class LogStorage
{
public:
    LogStorage() = default;
    LogStorage(const LogStorage &) = delete;
    auto operator=(const LogStorage &) -> LogStorage & = delete;
    virtual ~LogStorage() = default;

    /// Reads everything and makes it durable; truncates an incomplete last write and fails on any
    /// other corruption.
    virtual auto load() -> Result<StoredLog> = 0;
    /// The identity is durable on return.
    virtual auto writeIdentity(const VoterIdentity &identity) -> Result<Nothing> = 0;
    virtual auto stageState(const LogState &state) -> void = 0;
    /// Drops the records after \a index.
    virtual auto stageTruncation(LogIndex index) -> void = 0;
    virtual auto stageRecords(const std::vector<LogRecord> &records) -> void = 0;
    virtual auto sync() -> Result<Nothing> = 0;
    /// Replaces everything stored, staged writes included, by the arguments, in new files; durable
    /// on return. Fails with Error::DiskFull only when nothing has changed.
    virtual auto writeSnapshot(const LogSnapshot &snapshot, const LogState &state,
                               const std::vector<LogRecord> &following) -> Result<Nothing> = 0;
    /// Whether \a bytes more fit without using the space that is reserved for terms and votes.
    [[nodiscard]] virtual auto hasFreeSpace(std::size_t bytes) const -> bool = 0;
};

} // namespace lycheereach
