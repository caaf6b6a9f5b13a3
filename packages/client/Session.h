/// \file
/// \brief What every command works with.
#pragma once

#include "client/CommandLine.h"
#include "client/Console.h"
#include "client/EntryCaller.h"

namespace lycheereach {

/// What every command works with.
struct Session
{
    CommandLine line_;
    Console console_;
    EntryCaller caller_;
};

} // namespace lycheereach
