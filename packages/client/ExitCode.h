/// \file
/// \brief The exit codes of `lycheereach`.
#pragma once

namespace lycheereach {

/// Exit status of the program; docs/help/exit-codes.md documents the values.
enum class ExitCode {
    Ok = 0,
    /// Refused or failed permanently; did not run.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The change is based on a version that is not the current one.
    Conflict = 3,
    /// No entry answered, or the request may have run.
    Unreachable = 4,
    /// Accepted, but not in force within --timeout.
    NotInForce = 5,
};

} // namespace lycheereach
