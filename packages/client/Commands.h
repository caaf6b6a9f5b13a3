/// \file
/// \brief The commands of `lycheereach`.
#pragma once

#include "client/ExitCode.h"

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace lycheereach {

struct ClientHooks;
struct Session;

/// Name, argument counts and implementation of one command.
struct CommandInfo
{
    const char *name_;
    /// Number of positional arguments that follow the name.
    std::size_t minArguments_;
    std::size_t maxArguments_;
    /// Whether the option --entries is required.
    bool needsEntries_;
    ExitCode (*run_)(Session &);
};

/// All commands except `help`, in the order of the help overview. Each has a help page
/// docs/help/NAME.md.
auto allCommands() -> std::span<const CommandInfo>;
/// The help page of \a topic; empty when there is none.
auto helpPage(const std::string &topic) -> std::string;

/// Runs the program; \a arguments are those that follow its name.
auto runClient(const std::vector<std::string> &arguments, const ClientHooks &hooks,
               std::ostream &out, std::ostream &err) -> ExitCode;

} // namespace lycheereach
