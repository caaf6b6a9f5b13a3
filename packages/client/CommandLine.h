/// \file
/// \brief The command line of `lycheereach`.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// The command line as given.
struct CommandLine
{
    /// The command and its arguments.
    std::vector<std::string> words_;
    /// `IP:port` of entries to ask.
    std::vector<std::string> entries_;
    std::optional<std::string> keyFile_;
    std::string who_;
    bool json_ = false;
    bool help_ = false;
    bool version_ = false;
    std::optional<std::uint64_t> fromVersion_;
    std::optional<std::string> operationId_;
    bool wait_ = false;
    double timeoutSeconds_ = 30.0;
    std::optional<std::string> request_;
    std::optional<std::string> group_;
    std::optional<std::string> upstream_;
    std::optional<double> sinceSeconds_;
    std::string model_;
    std::string prompt_;
    bool stream_ = false;
    std::optional<std::uint32_t> maxTokens_;
    std::optional<std::string> workspace_;
    std::optional<std::uint64_t> deadlineMs_;
    std::optional<std::uint32_t> priority_;
    std::string body_;
    std::optional<std::string> idempotencyKey_;

    auto operator==(const CommandLine &) const -> bool = default;
};

/// Reads the arguments behind the program's name.
auto parseCommandLine(const std::vector<std::string> &arguments) -> Result<CommandLine>;

} // namespace lycheereach
