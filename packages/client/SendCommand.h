/// \file
/// \brief The command `send`.
#pragma once

#include "client/ExitCode.h"

namespace lycheereach {

struct Session;

/// `send chat` and `send service NAME METHOD PATH`.
auto runSend(Session &session) -> ExitCode;

} // namespace lycheereach
