/// \file
/// \brief The context of a running command.
#pragma once

#include "client/CommandLine.h"
#include "client/Console.h"
#include "client/EntryCaller.h"

namespace lycheereach {

/// Command line, output and entry connection of a running command.
struct Session
{
    CommandLine commandLine_;
    Console console_;
    EntryCaller caller_;
};

} // namespace lycheereach
