/// \file
/// \brief The format of the log file: one checksummed frame for each sync.
///
/// A frame has a header of 24 bytes (magic number, length of the body, XXH3 of the body, XXH3 of
/// the header), seeded by the frame's offset in the file, and a body of operations. All numbers are
/// little-endian.
#pragma once

#include "log/LogRecord.h"
#include "log/LogState.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// The body of the frame at \a offset of \a file; nothing when it is incomplete or damaged.
auto readFrame(std::string_view file, std::size_t offset) -> std::optional<std::string_view>;
/// The offset of the first whole frame at or after \a from.
auto findFrame(std::string_view file, std::size_t from) -> std::optional<std::size_t>;
/// \a body as the frame at \a offset.
auto encodeFrame(std::size_t offset, std::string_view body) -> std::string;
/// How long a frame with \a body is.
auto frameBytes(std::string_view body) -> std::size_t;

/// The replayed content of a log file.
struct ReplayedLog
{
    LogState state_;
    /// The position before the first record.
    LogPosition base_;
    std::vector<LogRecord> records_;
};

/// \name Writing of bodies.
/// @{
auto appendStateOperation(std::string &body, const LogState &state) -> void;
auto appendBaseOperation(std::string &body, const LogPosition &base) -> void;
auto appendTruncateOperation(std::string &body, LogIndex lastKept) -> void;
auto appendRecordOperation(std::string &body, const LogRecord &record) -> void;
/// @}

/// Replays the operations of \a body on \a content; false when they make no sense.
auto replayOperations(std::string_view body, ReplayedLog &content) -> bool;

} // namespace lycheereach
