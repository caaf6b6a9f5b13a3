/// \file
/// \brief The command `check-settings`.
#pragma once

#include "client/ExitCode.h"

namespace lycheereach {

struct Session;

/// `check-settings FILE...`: validates daemon settings and declarations without a running entry.
auto runCheckSettings(Session &session) -> ExitCode;

} // namespace lycheereach
