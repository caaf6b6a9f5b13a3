/// \file
/// \brief What the types of the daemon's settings don't show.
#pragma once

#include "settings/JsonFault.h"

#include <vector>

namespace lycheereach {

struct DaemonSettings;

/// Everything wrong with \a settings: ranges, addresses, duplicates, relations and files.
auto checkDaemonSettings(const DaemonSettings &settings) -> std::vector<JsonFault>;

} // namespace lycheereach
