/// \file
/// \brief The outcome of a probe of an upstream over a new connection.
#pragma once

namespace lycheereach {

/// The outcome of a probe of an upstream over a new connection.
enum class ProbeOutcome {
    /// The upstream answered, with any status.
    Answered,
    /// Its process has ended: nothing listens at its address, or another instance does.
    Ended,
    /// No answer came in time.
    Silent,
};

} // namespace lycheereach
