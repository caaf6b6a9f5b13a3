/// \file
/// \brief The text log on standard error.
#pragma once

#include <string>

namespace lycheereach {

/// Severity of a line of the text log.
enum class Severity {
    Info,
    Warning,
    Error,
};

/// Sets the line format and the minimum severity written. Call once, before the first line.
auto configureTextLog(Severity minSeverity) -> void;
/// Writes one line. Thread-safe; may block on standard error.
auto writeTextLog(Severity severity, const std::string &line) -> void;

} // namespace lycheereach
