/// \file
/// \brief How full an engine may be that takes one more request.
#pragma once

#include <cstdint>

namespace lycheereach {

/// How full an engine may be that takes one more request.
struct AdmissionLimit
{
    /// Requests that may wait there for a place.
    std::uint32_t maxWaiting_ = 0;
    /// The part of its places that may be taken.
    double maxFill_ = 1;

    auto operator==(const AdmissionLimit &) const -> bool = default;
};

} // namespace lycheereach
