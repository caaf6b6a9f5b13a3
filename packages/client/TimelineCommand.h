/// \file
/// \brief The command `timeline`.
#pragma once

#include "client/ExitCode.h"

namespace lycheereach {

struct Session;

/// `timeline`: shows the events of all entries, merged by time stamp.
auto runTimeline(Session &session) -> ExitCode;

} // namespace lycheereach
