/// \file
/// \brief The text log on standard error.
#pragma once

#include <string>

namespace lycheereach {

/// How much a line of the text log matters.
enum class Severity {
    Info,
    Warning,
    Error,
};

/// Sets the form of the lines and the lowest severity written; once, before the first line.
auto configureTextLog(Severity lowest) -> void;
/// Writes one line. Thread-safe; may wait for standard error.
auto writeTextLog(Severity severity, const std::string &line) -> void;

} // namespace lycheereach
