/// \file
/// \brief The exit codes of `lycheereach`.
#pragma once

namespace lycheereach {

/// How a command ended, as told to shells; docs/help/exit-codes.md explains them.
enum class ExitCode {
    Ok = 0,
    /// Refused or failed for good; did not run.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Made from another version than the present one.
    Conflict = 3,
    /// No entry answered, or the request may have run.
    Unreachable = 4,
    /// Accepted, but not in force within the time given.
    NotInForce = 5,
};

} // namespace lycheereach
