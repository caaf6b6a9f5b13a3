/// \file
/// \brief In-memory storage that outlives its replica and fails on demand.
#pragma once

#include "log/LogStorage.h"

#include <functional>
#include <memory>

namespace lycheereach {

/// Thrown by hooks to simulate a crash of the process at that point.
struct Crash
{ };

/// The content that survives a crash, and the faults to inject.
struct MemoryDisk
{
    StoredLog durable_;
    bool full_ = false;
    /// Every write fails as on a faulty disk.
    bool syncFails_ = false;
    /// As above, for snapshots alone.
    bool snapshotFails_ = false;
    /// Called before and after each durable write; may throw Crash.
    std::function<void()> beforeAndAfterWrite_ = [] {};
    std::size_t syncCount_ = 0;
};

/// Holds the staged writes of one process, which a crash loses, over a MemoryDisk.
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
    auto write(StoredLog content) -> Result<Nothing>;

    std::shared_ptr<MemoryDisk> disk_;
    StoredLog staged_;
    /// A write has failed and no new snapshot has been written since.
    bool hasFailed_ = false;
};

} // namespace lycheereach
