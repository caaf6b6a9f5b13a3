/// \file
/// \brief How a permit was used.
#pragma once

namespace lycheereach {

/// How a permit was used; reported when it is returned.
enum class PermitUse {
    /// No byte of a request was sent.
    Unused,
    /// The upstream refused the request without running it.
    Refused,
    /// The complete response arrived.
    Completed,
    /// The upstream stopped running the request, failed it or crashed.
    Failed,
    /// The upstream may still be running the request.
    Abandoned,
};

} // namespace lycheereach
