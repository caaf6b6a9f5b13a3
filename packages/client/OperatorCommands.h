/// \file
/// \brief The commands that change the configuration of the fleet.
#pragma once

#include "client/ExitCode.h"

namespace lycheereach {

struct Session;

/// `apply FILE`
auto runApply(Session &session) -> ExitCode;
/// `zone out|in NAME`
auto runZone(Session &session) -> ExitCode;
/// `upstream drain|undrain ID`
auto runUpstream(Session &session) -> ExitCode;
/// `voter add|remove ID`: adds the entry ID to the voters of the control log or removes it.
auto runVoter(Session &session) -> ExitCode;

} // namespace lycheereach
