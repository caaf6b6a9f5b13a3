/// \file
/// \brief The format of the log file: one checksummed frame for each sync.
///
/// A frame is a header of 24 bytes (magic number, length of the body, XXH3 of the body, XXH3 of the
/// header) and a body of operations. The hashes are seeded with the frame's offset in the file. All
/// numbers are little-endian.
#pragma once

#include "log/LogRecord.h"
#include "log/LogState.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// The body of the frame at \a offset of \a file; nullopt if the frame is incomplete or damaged.
auto readFrame(std::string_view file, std::size_t offset) -> std::optional<std::string_view>;
/// The offset of the first intact frame at or after \a from; nullopt if there is none.
auto findFrame(std::string_view file, std::size_t from) -> std::optional<std::size_t>;
/// Encodes \a body as the frame at \a offset of the file.
auto encodeFrame(std::size_t offset, std::string_view body) -> std::string;
/// The size in bytes of a frame with \a body.
auto frameBytes(std::string_view body) -> std::size_t;

/// The content of a log file after its operations have been applied.
struct ReplayedLog
{
    LogState state_;
    /// The position right before the first record.
    LogPosition base_;
    std::vector<LogRecord> records_;
};

/// \name Append one operation to the body of a frame.
/// @{
auto appendStateOperation(std::string &body, const LogState &state) -> void;
/// Drops all records; the next one follows \a base.
auto appendBaseOperation(std::string &body, const LogPosition &base) -> void;
/// Drops the records after \a lastKept.
auto appendTruncateOperation(std::string &body, LogIndex lastKept) -> void;
auto appendRecordOperation(std::string &body, const LogRecord &record) -> void;
/// @}

/// Applies the operations of \a body to \a content; false if one is malformed or does not follow
/// the records before it.
auto replayOperations(std::string_view body, ReplayedLog &content) -> bool;

} // namespace lycheereach
