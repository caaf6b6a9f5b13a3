/// \file
/// \brief The log of a replica in memory.
#pragma once

#include "log/LogSnapshot.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace lycheereach {

/// The latest snapshot and the records after a position at or before it.
class RecordSequence
{
public:
    RecordSequence(LogSnapshot snapshot, std::vector<LogRecord> records);

    [[nodiscard]] auto snapshot() const -> const LogSnapshot & { return snapshot_; }
    /// The position before the first record held.
    [[nodiscard]] auto base() const -> LogPosition { return base_; }
    [[nodiscard]] auto last() const -> LogPosition;
    /// The term at \a index; nothing when it is before base() or after last().
    [[nodiscard]] auto termAt(LogIndex index) const -> std::optional<Term>;
    /// The record at \a index; requires base() < index <= last().
    [[nodiscard]] auto at(LogIndex index) const -> const LogRecord &;
    /// Records from \a first to \a lastIndex, at least one and then up to \a limitBytes.
    [[nodiscard]] auto range(LogIndex first, LogIndex lastIndex, std::size_t limitBytes) const
        -> std::vector<LogRecord>;
    /// The first index held of the term at \a index.
    [[nodiscard]] auto firstIndexOfTermAt(LogIndex index) const -> LogIndex;

    /// The voters as of the last record.
    [[nodiscard]] auto voters() const -> const VoterSet &;
    /// The position of the record that set voters(), or an earlier one.
    [[nodiscard]] auto votersIndex() const -> LogIndex;
    /// The voters as of \a index; requires that it is not before the snapshot.
    [[nodiscard]] auto votersAt(LogIndex index) const -> VoterSet;

    auto append(LogRecord record) -> void;
    auto truncateAfter(LogIndex index) -> void;
    /// Takes a snapshot of a prefix of this log; keeps \a keepRecords before it.
    auto compact(LogSnapshot snapshot, std::size_t keepRecords) -> void;
    /// Takes a snapshot from the leader; keeps the records after it when they continue it.
    auto install(LogSnapshot snapshot) -> void;

private:
    LogSnapshot snapshot_;
    LogPosition base_;
    std::deque<LogRecord> records_;
    /// Each change of the voters after the snapshot, in order.
    std::vector<std::pair<LogIndex, VoterSet>> voterChanges_;
};

} // namespace lycheereach
