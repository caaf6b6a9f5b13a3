/// \file
/// \brief What is known about a request that may kill upstreams.
#pragma once

namespace lycheereach {

/// What is known about a request that may kill upstreams.
enum class SuspicionRuling {
    Clear,
    /// Was in flight at a crash: runs only where no other suspect runs.
    Suspect,
    /// Killed upstreams: is refused.
    Blocked,
};

} // namespace lycheereach
