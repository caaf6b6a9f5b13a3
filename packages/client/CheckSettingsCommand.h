/// \file
/// \brief The command `check-settings`.
#pragma once

#include "client/ExitCode.h"

namespace lycheereach {

struct Session;

/// `check-settings FILE...`: daemon settings and declarations.
auto runCheckSettings(Session &session) -> ExitCode;

} // namespace lycheereach
