/// \file
/// \brief What an attempt showed of its target.
#pragma once

namespace lycheereach {

/// What an attempt showed of its target.
enum class TargetOutcome {
    /// It answered.
    Responded,
    /// The attempt failed; others may not.
    Failed,
    /// It does not take this entry's requests: nothing listens at its address, or another instance
    /// does, or it no longer is the first member of its group.
    Unavailable,
};

} // namespace lycheereach
