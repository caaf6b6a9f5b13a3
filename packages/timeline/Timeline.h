/// \file
/// \brief One order for the events of many processes.
#pragma once

#include "base/Event.h"

#include <string>
#include <vector>

namespace lycheereach {

/// All events of \a processes, ordered by time stamp and then by process. An event that was
/// collected twice is there once.
auto mergeTimelines(const std::vector<std::vector<RecordedEvent>> &processes)
    -> std::vector<RecordedEvent>;

/// One line: time in UTC and counter, process, number, name, attributes as `key=value`.
auto renderEvent(const RecordedEvent &event) -> std::string;

} // namespace lycheereach
