/// \file
/// \brief A LogStorage that keeps its files in one folder.
#pragma once

#include "log/FrameCodec.h"
#include "log/LogStorage.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>

namespace lycheereach {

/// The system calls that tests replace; an empty hook makes the real call.
struct FileLogStorageHooks
{
    /// Behaves like write(2).
    std::function<ssize_t(int file, const char *bytes, std::size_t count)> write_;
    /// Behaves like fdatasync(2) and fsync(2).
    std::function<int(int file)> sync_;
    /// The free bytes of the file system that holds the folder.
    std::function<std::uintmax_t()> freeBytes_;
};

/// Keeps three files: `identity`, the latest `snapshot`, and the `log` of the records after it
/// (format: FrameCodec.h). Each sync() appends one frame to the log, so a damaged last frame is an
/// incomplete write and is truncated; damage anywhere else is corruption. A new snapshot is renamed
/// into place before the log that continues it; load() completes this if the process stopped in
/// between.
class FileLogStorage : public LogStorage
{
public:
    explicit FileLogStorage(std::filesystem::path folder, FileLogStorageHooks hooks = {});
    ~FileLogStorage() override;

    auto load() -> Result<StoredLog> override;
    auto writeIdentity(const VoterIdentity &identity) -> Result<Nothing> override;
    auto stageState(const LogState &state) -> void override;
    auto stageTruncation(LogIndex index) -> void override;
    auto stageRecords(const std::vector<LogRecord> &records) -> void override;
    auto sync() -> Result<Nothing> override;
    auto writeSnapshot(const LogSnapshot &snapshot, const LogState &state,
                       const std::vector<LogRecord> &following) -> Result<Nothing> override;
    [[nodiscard]] auto hasFreeSpace(std::size_t bytes) const -> bool override;

private:
    auto lockFolder() -> Result<Nothing>;
    auto loadIdentity(StoredLog &stored) -> Result<Nothing>;
    auto loadSnapshot(StoredLog &stored) -> Result<Nothing>;
    auto loadFrames(ReplayedLog &content) -> Result<Nothing>;
    auto truncateTornTail(std::size_t length) -> Result<Nothing>;
    auto reconcileWithSnapshot(ReplayedLog content, StoredLog &stored) -> Result<Nothing>;
    /// Makes durable what was loaded.
    auto syncLoaded() -> Result<Nothing>;
    auto openLog() -> Result<Nothing>;
    auto rewriteLog(const LogPosition &base, const LogState &state,
                    const std::vector<LogRecord> &records) -> Result<Nothing>;
    auto replaceFile(const std::string &name, const std::string &bytes) -> Result<Nothing>;
    auto writeAll(int file, const std::string &bytes) -> Result<Nothing>;
    auto syncFile(int file, const std::filesystem::path &path) -> Result<Nothing>;
    auto syncFolder() -> Result<Nothing>;
    [[nodiscard]] auto corruptionFailure(const std::string &name, std::size_t offset,
                                         const std::string &problem) const -> Failure;

    std::filesystem::path folder_;
    FileLogStorageHooks hooks_;
    int lockFile_ = -1;
    int logFile_ = -1;
    /// The length of the log file without an incomplete last frame.
    std::size_t logBytes_ = 0;
    std::optional<LogState> stagedState_;
    /// Encoded truncations and records that the next sync() writes.
    std::string stagedOperations_;
    /// The failure after which the content of the log file is uncertain; every write but a new
    /// snapshot is refused.
    std::optional<Failure> writeFailure_;
};

} // namespace lycheereach
