#include "client/Commands.h"

#include "client/CheckSettingsCommand.h"
#include "client/OperatorCommands.h"
#include "client/SendCommand.h"
#include "client/Session.h"
#include "client/TimelineCommand.h"
#include "client/ViewCommands.h"
#include "settings/NetworkAddress.h"
#include "settings/TextFile.h"

#include <algorithm>
#include <array>
#include <limits>
#include <ostream>

namespace lycheereach {

namespace {

constexpr auto unlimitedArguments = std::numeric_limits<std::size_t>::max();

constexpr auto commandTable = std::to_array<CommandInfo>({
    {"apply", 1, 1, true, runApply},
    {"zone", 2, 2, true, runZone},
    {"upstream", 2, 2, true, runUpstream},
    {"voter", 2, 2, true, runVoter},
    {"status", 0, 0, true, runStatus},
    {"history", 0, 0, true, runHistory},
    {"timeline", 0, 0, true, runTimeline},
    {"entries", 0, 0, true, runEntries},
    {"send", 1, 4, true, runSend},
    {"check-settings", 1, unlimitedArguments, false, runCheckSettings},
});

auto usageError(std::ostream &err, const std::string &problem) -> ExitCode
{
    err << "lycheereach: " << problem << "; 'lycheereach help' lists the commands\n";
    return ExitCode::Usage;
}

auto showHelp(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
    -> ExitCode
{
    const auto topic = words.size() > 1 && words.front() == "help" ? words[1]
        : words.empty() || words.front() == "help"                 ? std::string("overview")
                                                                   : words.front();
    const auto page = helpPage(topic);
    if (page.empty())
        return usageError(err, "there is no help page '" + topic + "'");
    out << page;
    return ExitCode::Ok;
}

auto findCommand(const std::string &name) -> const CommandInfo *
{
    const auto isNamed = [&](const CommandInfo &command) { return command.name_ == name; };
    const auto *const found = std::find_if(commandTable.begin(), commandTable.end(), isNamed);
    return found == commandTable.end() ? nullptr : &*found;
}

/// Describes why \a line is invalid for \a command; empty when it is valid.
auto findUsageProblem(const CommandInfo &command, const CommandLine &line) -> std::string
{
    const auto count = line.positionalArguments_.size() - 1;
    if (count < command.minArguments_ || count > command.maxArguments_)
        return std::string("wrong number of arguments; see 'lycheereach help ") + command.name_
            + "'";
    if (command.needsEntries_ && line.entries_.empty())
        return "--entries is missing; name the IP:port of one or more entries";
    for (const auto &entry : line.entries_) {
        if (const auto problem = addressProblem(entry); !problem.empty())
            return "--entries: " + problem;
    }
    return "";
}

} // namespace

auto allCommands() -> std::span<const CommandInfo>
{
    return commandTable;
}

auto runClient(const std::vector<std::string> &arguments, const ClientHooks &hooks,
               std::ostream &out, std::ostream &err) -> ExitCode
{
    const auto line = parseCommandLine(arguments);
    if (!line)
        return usageError(err, line.failure().message_);
    if (line->showVersion_) {
        out << "lycheereach " << LYCHEEREACH_VERSION << '\n';
        return ExitCode::Ok;
    }
    const auto &words = line->positionalArguments_;
    if (line->showHelp_ || (!words.empty() && words.front() == "help"))
        return showHelp(words, out, err);
    if (words.empty())
        return usageError(err, "no command given");
    const auto *const command = findCommand(words.front());
    if (command == nullptr)
        return usageError(err, "unknown command '" + words.front() + "'");
    if (const auto problem = findUsageProblem(*command, *line); !problem.empty())
        return usageError(err, problem);
    auto key = std::optional<std::string>{};
    if (line->operatorKeyFile_) {
        const auto fileContent = readKeyFile(*line->operatorKeyFile_);
        if (!fileContent)
            return usageError(err, "--key-file: " + fileContent.failure().message_);
        key = *fileContent;
    }
    auto session = Session{*line, Console(out, err, line->jsonOutput_),
                           EntryCaller(hooks, line->entries_, key)};
    return command->run_(session);
}

} // namespace lycheereach
