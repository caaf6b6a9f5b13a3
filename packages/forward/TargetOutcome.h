/// \file
/// \brief What the end of an attempt shows about its target.
#pragma once

namespace lycheereach {

/// What the end of an attempt shows about its target.
enum class TargetOutcome {
    /// The target responded.
    Responded,
    /// No request was sent to the target after all.
    Unused,
    /// The attempt failed; further attempts at the target may succeed.
    Failed,
    /// The target can't serve this entry's requests: nothing listens at its address, another
    /// instance listens there, or it is no longer the first member of its group.
    Unavailable,
};

} // namespace lycheereach
