/// \file
/// \brief Whether a request is suspected of crashing upstreams.
#pragma once

namespace lycheereach {

/// Whether a request is suspected of crashing upstreams.
enum class SuspicionStatus {
    /// Not suspected.
    Clear,
    /// Was in flight at a crash: runs only on a target that runs no other suspect.
    Suspect,
    /// Crashed upstreams: is refused.
    Blocked,
};

} // namespace lycheereach
