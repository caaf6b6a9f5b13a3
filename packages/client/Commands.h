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

/// One command.
struct CommandInfo
{
    const char *name_;
    /// The fewest words behind the name.
    std::size_t leastArguments_;
    std::size_t mostArguments_;
    /// Whether it needs --entries.
    bool asksEntries_;
    ExitCode (*run_)(Session &);
};

/// All commands but `help`, in the order of the overview. Each has a page docs/help/NAME.md.
auto commandCatalogue() -> std::span<const CommandInfo>;
/// The help page of \a topic; empty when there is none.
auto helpPage(const std::string &topic) -> std::string;

/// Runs the program; \a arguments are those behind its name.
auto runClient(const std::vector<std::string> &arguments, const ClientHooks &hooks,
               std::ostream &out, std::ostream &err) -> ExitCode;

} // namespace lycheereach
