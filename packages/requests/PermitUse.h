/// \file
/// \brief What became of a permit.
#pragma once

namespace lycheereach {

/// What became of a permit.
enum class PermitUse {
    /// No byte was sent.
    Unused,
    /// The upstream refused the request without running it.
    Refused,
    /// The request was served whole.
    Completed,
    /// The upstream stopped running it, or broke.
    Failed,
    /// The upstream may still be running it.
    Abandoned,
};

} // namespace lycheereach
