/// \file
/// \brief How full an engine may be that takes one more request.
#pragma once

#include <cstdint>

namespace lycheereach {

/// How full an engine may be that takes one more request.
struct Admission
{
    /// Requests that may wait there for a place.
    std::uint32_t waiting_ = 0;
    /// The part of its places that may be taken.
    double fill_ = 1;

    auto operator==(const Admission &) const -> bool = default;
};

} // namespace lycheereach
