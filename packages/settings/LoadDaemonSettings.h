/// \file
/// \brief Reading the settings file of `lycheereachd`.
#pragma once

#include "base/Result.h"
#include "settings/DaemonSettings.h"

#include <string>

namespace lycheereach {

/// Reads and checks the file at \a path; the failure lists all faults, a line each, as
/// `FILE:LINE: PATH: PROBLEM`.
auto loadDaemonSettings(const std::string &path) -> Result<DaemonSettings>;

} // namespace lycheereach
