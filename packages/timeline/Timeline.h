/// \file
/// \brief Merges and formats the events of several processes.
#pragma once

#include "base/Event.h"

#include <string>
#include <vector>

namespace lycheereach {

/// All events of \a processes, ordered by time stamp and then by process name. Duplicates of an
/// event are removed.
auto mergeTimelines(const std::vector<std::vector<RecordedEvent>> &processes)
    -> std::vector<RecordedEvent>;

/// Formats \a event as one line: time in UTC with the counter of the hybrid clock, process, event
/// number, event name, attributes as `key=value`.
auto renderEvent(const RecordedEvent &event) -> std::string;

} // namespace lycheereach
