/// \file
/// \brief Event storage in a JSON Lines file.
#pragma once

#include "base/Event.h"
#include "base/Result.h"

#include <string>
#include <system_error>
#include <vector>

namespace lycheereach {

/// Appends events to a file, one JSON object per line. Not thread-safe.
class EventFile
{
public:
    explicit EventFile(std::string path);

    /// Appends \a events; the error says why the file could not be written.
    auto append(const std::vector<RecordedEvent> &events) -> std::error_code;

private:
    std::string path_;
};

/// Reads the events of the file at \a path. A torn last line, left by a killed process, is skipped.
auto readEventFile(const std::string &path) -> Result<std::vector<RecordedEvent>>;

} // namespace lycheereach
