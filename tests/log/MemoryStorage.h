/// \file
/// \brief A disk in memory that outlives its replica and fails on demand.
#pragma once

#include "log/LogStorage.h"

#include <functional>
#include <memory>

namespace lycheereach {

/// Thrown by hooks to stop a replica where it stands.
struct Crash
{ };

/// What a crash leaves, and the faults to come.
struct MemoryDisk
{
    StoredLog durable_;
    bool full_ = false;
    bool syncFails_ = false;
    /// Called before and after each write; may throw Crash.
    std::function<void()> beforeAndAfterWrite_ = [] {};
    std::size_t syncCount_ = 0;
};

/// Staged writes live here and are lost with the process.
class MemoryStorage : public LogStorage
{
public:
    explicit MemoryStorage(std::shared_ptr<MemoryDisk> disk);

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
    std::shared_ptr<MemoryDisk> disk_;
    StoredLog staged_;
};

} // namespace lycheereach
