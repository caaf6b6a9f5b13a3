/// \file
/// \brief The commands that show the state of the fleet.
#pragma once

#include "client/ExitCode.h"

#include <string>

namespace lycheereach {

struct Session;

/// `status`
auto runStatus(Session &session) -> ExitCode;
/// `history`
auto runHistory(Session &session) -> ExitCode;
/// `entries`
auto runEntries(Session &session) -> ExitCode;

} // namespace lycheereach
