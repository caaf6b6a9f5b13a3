/// \file
/// \brief The command line of `lycheereach`.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// The parsed command line. An option that is absent keeps its default value.
struct CommandLine
{
    /// The command and its positional arguments.
    std::vector<std::string> positionalArguments_;
    /// `IP:port` of the entries to call.
    std::vector<std::string> entries_;
    /// File with the operator key.
    std::optional<std::string> operatorKeyFile_;
    /// Name of the operator, sent with each operation.
    std::string operatorName_;
    bool jsonOutput_ = false;
    bool showHelp_ = false;
    bool showVersion_ = false;
    /// Version of the declaration that the operator edited.
    std::optional<std::uint64_t> fromVersion_;
    /// Identifies a retried operation; a random one is generated when absent.
    std::optional<std::string> operationId_;
    /// Whether to wait until an accepted operation is in force.
    bool wait_ = false;
    /// Limit for the retries of an operation, and again for waiting until it is in force.
    double timeoutSeconds_ = 30.0;
    /// `timeline`: show only events with this request id.
    std::optional<std::string> requestFilter_;
    std::optional<std::string> groupFilter_;
    std::optional<std::string> upstreamFilter_;
    /// `timeline`: show only events of the last so many seconds.
    std::optional<double> sinceSeconds_;
    std::string model_;
    std::string prompt_;
    bool stream_ = false;
    std::optional<std::uint32_t> maxTokens_;
    std::optional<std::string> workspace_;
    /// `send`: time limit of the request in milliseconds.
    std::optional<std::uint64_t> deadlineMs_;
    std::optional<std::uint32_t> priority_;
    std::string body_;
    std::optional<std::string> idempotencyKey_;

    auto operator==(const CommandLine &) const -> bool = default;
};

/// Parses the arguments that follow the program's name.
auto parseCommandLine(const std::vector<std::string> &arguments) -> Result<CommandLine>;

} // namespace lycheereach
