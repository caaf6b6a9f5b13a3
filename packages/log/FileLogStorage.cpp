#include "log/FileLogStorage.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/file.h>
#include <unistd.h>

namespace lycheereach {

namespace {

constexpr auto logFileName = "log";
constexpr auto snapshotFileName = "snapshot";
constexpr auto identityFileName = "identity";
constexpr auto lockFileName = "lock";
constexpr auto filePermissions = mode_t(0600);
/// Free space that new records must leave for terms, votes and snapshots.
constexpr auto reservedFreeBytes = std::uintmax_t(16) * 1024 * 1024;

/// Closes a file at the end of its scope.
class ScopedFileDescriptor
{
public:
    explicit ScopedFileDescriptor(int file)
        : file_(file)
    { }
    ScopedFileDescriptor(const ScopedFileDescriptor &) = delete;
    auto operator=(const ScopedFileDescriptor &) -> ScopedFileDescriptor & = delete;
    ~ScopedFileDescriptor() { ::close(file_); }

private:
    int file_;
};

auto systemCallFailure(const std::string &call, const std::filesystem::path &path) -> Failure
{
    const auto errorNumber = errno;
    const auto diskFull = errorNumber == ENOSPC || errorNumber == EDQUOT;
    const auto advice
        = diskFull ? "; free space there" : "; check the disk, replace it if it is faulty";
    return {diskFull ? Error::DiskFull : Error::DiskFailed,
            path.string() + ": " + call + " failed: " + std::strerror(errorNumber) + advice};
}

auto readFile(const std::filesystem::path &path) -> Result<std::string>
{
    auto stream = std::ifstream(path, std::ios::binary);
    auto bytes = std::string(std::istreambuf_iterator<char>(stream), {});
    if (!stream.good() && !stream.eof())
        return systemCallFailure("read", path);
    return bytes;
}

} // namespace

FileLogStorage::FileLogStorage(std::filesystem::path folder, FileLogStorageHooks hooks)
    : folder_(std::move(folder))
    , hooks_(std::move(hooks))
{
    if (!hooks_.write_)
        hooks_.write_ = [](int file, const char *bytes, std::size_t count) {
            return ::write(file, bytes, count);
        };
    if (!hooks_.sync_)
        hooks_.sync_ = [](int file) { return ::fdatasync(file); };
    if (!hooks_.freeBytes_)
        hooks_.freeBytes_ = [this] {
            auto error = std::error_code{};
            const auto space = std::filesystem::space(folder_, error);
            return error ? 0 : space.available;
        };
}

FileLogStorage::~FileLogStorage()
{
    if (logFile_ >= 0)
        ::close(logFile_);
    if (lockFile_ >= 0)
        ::close(lockFile_);
}

auto FileLogStorage::load() -> Result<StoredLog>
{
    auto stored = StoredLog{};
    auto content = ReplayedLog{};
    auto result = lockFolder();
    if (result)
        result = loadIdentity(stored);
    if (result)
        result = loadSnapshot(stored);
    if (result)
        result = loadFrames(content);
    if (result && !stored.identity_ && (logBytes_ > 0 || stored.snapshot_.position_.index_ > 0))
        result = corruptionFailure(identityFileName, 0,
                                   "the file is missing although a log or snapshot exists");
    if (result)
        result = reconcileWithSnapshot(std::move(content), stored);
    if (result && logFile_ >= 0)
        result = syncLoaded();
    if (!result)
        return result.failure();
    return stored;
}

auto FileLogStorage::lockFolder() -> Result<Nothing>
{
    auto error = std::error_code{};
    std::filesystem::create_directories(folder_, error);
    if (error)
        return Failure{Error::DiskFailed, folder_.string() + ": " + error.message()};
    const auto path = folder_ / lockFileName;
    lockFile_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, filePermissions);
    if (lockFile_ < 0)
        return systemCallFailure("open", path);
    if (::flock(lockFile_, LOCK_EX | LOCK_NB) != 0) {
        return Failure{Error::Conflict,
                       folder_.string()
                           + " is in use by another process; stop that process "
                             "or set another data folder"};
    }
    return Nothing{};
}

auto FileLogStorage::loadIdentity(StoredLog &stored) -> Result<Nothing>
{
    const auto path = folder_ / identityFileName;
    if (!std::filesystem::exists(path))
        return Nothing{};
    const auto text = readFile(path);
    if (!text)
        return text.failure();
    auto identity = decodeText<VoterIdentity>(*text, path.string());
    if (!identity)
        return corruptionFailure(identityFileName, 0, identity.failure().message_);
    if (!std::filesystem::exists(folder_ / logFileName))
        return corruptionFailure(logFileName, 0,
                                 "the file is missing although the identity exists");
    stored.identity_ = *identity;
    return Nothing{};
}

auto FileLogStorage::loadSnapshot(StoredLog &stored) -> Result<Nothing>
{
    const auto path = folder_ / snapshotFileName;
    if (!std::filesystem::exists(path))
        return Nothing{};
    const auto bytes = readFile(path);
    if (!bytes)
        return bytes.failure();
    const auto body = readFrame(*bytes, 0);
    if (!body || frameBytes(*body) != bytes->size())
        return corruptionFailure(snapshotFileName, 0, "the checksum is wrong");
    auto snapshot = decodeText<LogSnapshot>(std::string(*body), path.string());
    if (!snapshot)
        return corruptionFailure(snapshotFileName, 0, snapshot.failure().message_);
    stored.snapshot_ = std::move(snapshot.value());
    return Nothing{};
}

auto FileLogStorage::loadFrames(ReplayedLog &content) -> Result<Nothing>
{
    const auto path = folder_ / logFileName;
    if (!std::filesystem::exists(path))
        return Nothing{};
    const auto bytes = readFile(path);
    if (!bytes)
        return bytes.failure();
    auto offset = std::size_t(0);
    while (const auto body = readFrame(*bytes, offset)) {
        if (!replayOperations(*body, content))
            return corruptionFailure(logFileName, offset,
                                     "the records do not follow the preceding ones");
        offset += frameBytes(*body);
    }
    if (offset < bytes->size() && findFrame(*bytes, offset + 1))
        return corruptionFailure(logFileName, offset,
                                 "the checksum is wrong and intact frames follow");
    logBytes_ = offset;
    if (auto opened = openLog(); !opened)
        return opened;
    return offset < bytes->size() ? truncateTornTail(offset) : Nothing{};
}

auto FileLogStorage::truncateTornTail(std::size_t length) -> Result<Nothing>
{
    if (::ftruncate(logFile_, static_cast<off_t>(length)) != 0)
        return systemCallFailure("ftruncate", folder_ / logFileName);
    return syncFile(logFile_, folder_ / logFileName);
}

auto FileLogStorage::reconcileWithSnapshot(ReplayedLog content, StoredLog &stored)
    -> Result<Nothing>
{
    const auto position = stored.snapshot_.position_;
    stored.state_ = std::move(content.state_);
    stored.records_ = std::move(content.records_);
    if (content.base_ == position)
        return Nothing{};
    if (content.base_.index_ >= position.index_)
        return corruptionFailure(snapshotFileName, 0,
                                 "the snapshot is older than the start of the log");
    const auto coveredRecords = position.index_ - content.base_.index_;
    auto &records = stored.records_;
    const auto continues
        = coveredRecords <= records.size() && records[coveredRecords - 1].term_ == position.term_;
    if (continues)
        records.erase(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(coveredRecords));
    else
        records.clear();
    if (stored.state_.term_ < position.term_) {
        stored.state_.term_ = position.term_;
        stored.state_.votedFor_ = EntryId();
    }
    return rewriteLog(position, stored.state_, records);
}

auto FileLogStorage::syncLoaded() -> Result<Nothing>
{
    // A process that was killed before a sync left its writes and renames in the page cache only.
    if (auto synced = syncFile(logFile_, folder_ / logFileName); !synced)
        return synced;
    return syncFolder();
}

auto FileLogStorage::openLog() -> Result<Nothing>
{
    const auto path = folder_ / logFileName;
    const auto file
        = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, filePermissions);
    if (file < 0)
        return systemCallFailure("open", path);
    if (logFile_ >= 0)
        ::close(logFile_);
    logFile_ = file;
    return Nothing{};
}

auto FileLogStorage::writeIdentity(const VoterIdentity &identity) -> Result<Nothing>
{
    if (auto opened = openLog(); !opened)
        return opened;
    if (auto synced = syncFolder(); !synced)
        return synced;
    return replaceFile(identityFileName, encode(identity).dump() + "\n");
}

auto FileLogStorage::stageState(const LogState &state) -> void
{
    stagedState_ = state;
}

auto FileLogStorage::stageTruncation(LogIndex index) -> void
{
    appendTruncateOperation(stagedOperations_, index);
}

auto FileLogStorage::stageRecords(const std::vector<LogRecord> &records) -> void
{
    for (const auto &record : records)
        appendRecordOperation(stagedOperations_, record);
}

auto FileLogStorage::sync() -> Result<Nothing>
{
    if (writeFailure_)
        return *writeFailure_;
    if (!stagedState_ && stagedOperations_.empty())
        return Nothing{};
    auto body = std::string{};
    if (stagedState_)
        appendStateOperation(body, *stagedState_);
    body += stagedOperations_;
    auto result = writeAll(logFile_, encodeFrame(logBytes_, body));
    if (!result && result.failure().code_ == Error::DiskFull) {
        if (::ftruncate(logFile_, static_cast<off_t>(logBytes_)) == 0)
            return result;
        result = systemCallFailure("ftruncate", folder_ / logFileName);
    }
    if (result)
        result = syncFile(logFile_, folder_ / logFileName);
    if (!result) {
        writeFailure_ = result.failure();
        writeFailure_->code_ = Error::DiskFailed;
        return *writeFailure_;
    }
    logBytes_ += frameBytes(body);
    stagedState_.reset();
    stagedOperations_.clear();
    return Nothing{};
}

auto FileLogStorage::writeSnapshot(const LogSnapshot &snapshot, const LogState &state,
                                   const std::vector<LogRecord> &following) -> Result<Nothing>
{
    auto result = replaceFile(snapshotFileName, encodeFrame(0, encode(snapshot).dump()));
    if (!result && result.failure().code_ == Error::DiskFull)
        return result;
    if (result)
        result = rewriteLog(snapshot.position_, state, following);
    if (!result) {
        writeFailure_ = result.failure();
        writeFailure_->code_ = Error::DiskFailed;
        return *writeFailure_;
    }
    writeFailure_.reset();
    return result;
}

auto FileLogStorage::rewriteLog(const LogPosition &base, const LogState &state,
                                const std::vector<LogRecord> &records) -> Result<Nothing>
{
    auto body = std::string{};
    appendStateOperation(body, state);
    appendBaseOperation(body, base);
    for (const auto &record : records)
        appendRecordOperation(body, record);
    if (auto replaced = replaceFile(logFileName, encodeFrame(0, body)); !replaced)
        return replaced;
    logBytes_ = frameBytes(body);
    stagedState_.reset();
    stagedOperations_.clear();
    return openLog();
}

auto FileLogStorage::replaceFile(const std::string &name, const std::string &bytes)
    -> Result<Nothing>
{
    const auto path = folder_ / name;
    const auto temporary = folder_ / (name + ".tmp");
    const auto file
        = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, filePermissions);
    if (file < 0)
        return systemCallFailure("open", temporary);
    const auto descriptor = ScopedFileDescriptor(file);
    auto result = writeAll(file, bytes);
    if (result)
        result = syncFile(file, temporary);
    if (result && ::rename(temporary.c_str(), path.c_str()) != 0)
        result = systemCallFailure("rename", path);
    if (!result) {
        ::unlink(temporary.c_str());
        return result;
    }
    return syncFolder();
}

auto FileLogStorage::writeAll(int file, const std::string &bytes) -> Result<Nothing>
{
    auto written = std::size_t(0);
    while (written < bytes.size()) {
        const auto count = hooks_.write_(file, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return systemCallFailure("write", folder_);
        written += static_cast<std::size_t>(count);
    }
    return Nothing{};
}

auto FileLogStorage::syncFile(int file, const std::filesystem::path &path) -> Result<Nothing>
{
    if (hooks_.sync_(file) == 0)
        return Nothing{};
    auto failure = systemCallFailure("sync", path);
    failure.code_ = Error::DiskFailed;
    return failure;
}

auto FileLogStorage::syncFolder() -> Result<Nothing>
{
    const auto file = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
        return systemCallFailure("open", folder_);
    const auto descriptor = ScopedFileDescriptor(file);
    return syncFile(file, folder_);
}

auto FileLogStorage::hasFreeSpace(std::size_t bytes) const -> bool
{
    return hooks_.freeBytes_() > reservedFreeBytes + bytes;
}

auto FileLogStorage::corruptionFailure(const std::string &name, std::size_t offset,
                                       const std::string &problem) const -> Failure
{
    return {Error::CorruptLog,
            (folder_ / name).string() + ", offset " + std::to_string(offset) + ": " + problem
                + "; move the data folder away and start with an empty one, which joins as a "
                  "learner, then remove this voter and add it again"};
}

} // namespace lycheereach
