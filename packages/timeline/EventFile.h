/// \file
/// \brief Events as JSON lines in a file.
#pragma once

#include "base/Event.h"
#include "base/Result.h"

#include <string>
#include <system_error>
#include <vector>

namespace lycheereach {

/// Appends events to a file, one JSON object a line. Not thread-safe.
class EventFile
{
public:
    explicit EventFile(std::string path);

    /// Appends \a events; the error says why the file could not be written.
    auto append(const std::vector<RecordedEvent> &events) -> std::error_code;

private:
    std::string path_;
};

/// The events of the file at \a path. A torn last line, left by a killed process, is passed over.
auto readEventFile(const std::string &path) -> Result<std::vector<RecordedEvent>>;

} // namespace lycheereach
