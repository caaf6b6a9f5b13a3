#include "log/MemoryStorage.h"

namespace lycheereach {

MemoryStorage::MemoryStorage(std::shared_ptr<MemoryDisk> disk)
    : disk_(std::move(disk))
    , staged_(disk_->durable_)
{ }

auto MemoryStorage::load() -> Result<StoredLog>
{
    return disk_->durable_;
}

auto MemoryStorage::writeIdentity(const VoterIdentity &identity) -> Result<Nothing>
{
    staged_.identity_ = identity;
    disk_->durable_.identity_ = identity;
    return Nothing{};
}

auto MemoryStorage::stageState(const LogState &state) -> void
{
    staged_.state_ = state;
}

auto MemoryStorage::stageTruncation(LogIndex index) -> void
{
    std::erase_if(staged_.records_, [&](const auto &record) { return record.index_ > index; });
}

auto MemoryStorage::stageRecords(const std::vector<LogRecord> &records) -> void
{
    staged_.records_.insert(staged_.records_.end(), records.begin(), records.end());
}

auto MemoryStorage::sync() -> Result<Nothing>
{
    if (hasFailed_)
        return Failure{Error::DiskFailed, "an earlier write failed"};
    return write(staged_);
}

auto MemoryStorage::write(StoredLog content) -> Result<Nothing>
{
    disk_->beforeAndAfterWrite_();
    if (disk_->syncFails_) {
        hasFailed_ = true;
        return Failure{Error::DiskFailed, "sync failed"};
    }
    if (disk_->full_)
        return Failure{Error::DiskFull, "disk full"};
    disk_->durable_ = std::move(content);
    ++disk_->syncCount_;
    disk_->beforeAndAfterWrite_();
    return Nothing{};
}

auto MemoryStorage::writeSnapshot(const LogSnapshot &snapshot, const LogState &state,
                                  const std::vector<LogRecord> &following) -> Result<Nothing>
{
    if (disk_->snapshotFails_) {
        hasFailed_ = true;
        return Failure{Error::DiskFailed, "the disk was full when the log was to follow"};
    }
    const auto content = StoredLog{staged_.identity_, state, snapshot, following};
    auto result = write(content);
    if (result) {
        staged_ = content;
        hasFailed_ = false;
    }
    return result;
}

auto MemoryStorage::hasFreeSpace(std::size_t /*bytes*/) const -> bool
{
    return !disk_->full_;
}

} // namespace lycheereach
