/// \file
/// \brief The load up to which an engine is given another request.
#pragma once

#include <cstdint>

namespace lycheereach {

/// The load up to which an engine is given another request.
struct AdmissionLimit
{
    /// Requests that may wait in the engine's queue besides those in its slots.
    std::uint32_t maxWaiting_ = 0;
    /// The fraction of the engine's slots that may be in use.
    double maxFill_ = 1;

    auto operator==(const AdmissionLimit &) const -> bool = default;
};

} // namespace lycheereach
