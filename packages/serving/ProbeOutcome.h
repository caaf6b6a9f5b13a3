/// \file
/// \brief What became of a probe of an upstream over a new connection.
#pragma once

namespace lycheereach {

/// What became of a probe of an upstream over a new connection.
enum class ProbeOutcome {
    /// The upstream answered, with whatever status.
    Answered,
    /// Nothing listens at its address, or another instance does: its process has ended.
    Ended,
    /// Nothing came in time.
    Silent,
};

} // namespace lycheereach
