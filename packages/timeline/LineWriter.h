/// \file
/// \brief Writes lines to a file descriptor without waiting for its reader.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace lycheereach {

/// Collects lines until flush(). What a pipe or socket does not take then waits, up to a limit;
/// further lines are dropped and counted, and a line tells so once there is room again. Other files
/// are written directly. Thread-safe.
class LineWriter
{
public:
    /// \a descriptor stays open and owned by the caller; \a limitBytes is the most that waits.
    LineWriter(int descriptor, std::size_t limitBytes);

    /// Takes a line without its line break.
    auto write(const std::string &line) -> void;
    /// Writes what the descriptor takes at once.
    auto flush() -> void;
    /// Writes all, but waits for the reader no longer than \a limit.
    auto finish(Duration limit) -> void;

private:
    auto append(const std::string &line) -> void;
    auto writeReady() -> void;
    /// Writes the first bytes of \a size; negative with errno on failure.
    [[nodiscard]] auto writeSome(const char *bytes, std::size_t size) const -> std::ptrdiff_t;
    /// Whether the descriptor takes bytes now or within \a limit.
    [[nodiscard]] auto isReady(Duration limit) const -> bool;

    std::mutex mutex_;
    int descriptor_;
    std::size_t limitBytes_;
    bool isPipe_;
    bool isSocket_;
    std::string waiting_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace lycheereach
