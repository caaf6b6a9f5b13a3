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
    disk_->beforeAndAfterWrite_();
    if (disk_->syncFails_)
        return Failure{Error::DiskFailed, "sync failed"};
    if (disk_->full_)
        return Failure{Error::DiskFull, "disk full"};
    disk_->durable_ = staged_;
    ++disk_->syncCount_;
    disk_->beforeAndAfterWrite_();
    return Nothing{};
}

auto MemoryStorage::writeSnapshot(const LogSnapshot &snapshot, const LogState &state,
                                  const std::vector<LogRecord> &following) -> Result<Nothing>
{
    const auto before = staged_;
    staged_ = {before.identity_, state, snapshot, following};
    auto result = sync();
    if (!result)
        staged_ = before;
    return result;
}

auto MemoryStorage::hasFreeSpace(std::size_t /*bytes*/) const -> bool
{
    return !disk_->full_;
}

} // namespace lycheereach
