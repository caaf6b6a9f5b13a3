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
    /// The position right before the first held record.
    [[nodiscard]] auto base() const -> LogPosition { return base_; }
    [[nodiscard]] auto last() const -> LogPosition;
    /// The term at \a index; nullopt if it is before base() or after last().
    [[nodiscard]] auto termAt(LogIndex index) const -> std::optional<Term>;
    /// The record at \a index; requires base() < index <= last().
    [[nodiscard]] auto at(LogIndex index) const -> const LogRecord &;
    /// The records from \a first to \a lastIndex that fit in \a limitBytes of payload; the first
    /// one is returned even if it does not fit.
    [[nodiscard]] auto range(LogIndex first, LogIndex lastIndex, std::size_t limitBytes) const
        -> std::vector<LogRecord>;
    /// The first held index that has the same term as \a index.
    [[nodiscard]] auto firstIndexOfTermAt(LogIndex index) const -> LogIndex;

    /// The voters as of the last record.
    [[nodiscard]] auto voters() const -> const VoterSet &;
    /// The index of the record that set voters(); the snapshot's index if that record is covered by
    /// it.
    [[nodiscard]] auto votersIndex() const -> LogIndex;
    /// The voters as of \a index, which must not be before the snapshot.
    [[nodiscard]] auto votersAt(LogIndex index) const -> VoterSet;

    auto append(LogRecord record) -> void;
    auto truncateAfter(LogIndex index) -> void;
    /// Replaces a prefix of this log by a snapshot of it; still keeps the last \a keepRecords
    /// records of the prefix.
    auto compact(LogSnapshot snapshot, std::size_t keepRecords) -> void;
    /// Installs a snapshot from the leader; keeps the records after it if they continue it.
    auto install(LogSnapshot snapshot) -> void;

private:
    LogSnapshot snapshot_;
    LogPosition base_;
    std::deque<LogRecord> records_;
    /// Each change of the voters after the snapshot, in order.
    std::vector<std::pair<LogIndex, VoterSet>> voterChanges_;
};

} // namespace lycheereach
