/// \file
/// \brief The command `timeline`.
#pragma once

#include "client/ExitCode.h"

namespace lycheereach {

struct Session;

/// `timeline`: the events of all entries in one order.
auto runTimeline(Session &session) -> ExitCode;

} // namespace lycheereach
