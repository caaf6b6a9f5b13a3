/// \file
/// \brief A time stamp that orders events over all processes.
#pragma once

#include "base/JsonCodec.h"

#include <compare>
#include <cstdint>

namespace lycheereach {

/// Wall time in microseconds since 1970, and a counter that keeps cause before effect.
struct HybridTime
{
    std::int64_t wallMicroseconds_ = 0;
    std::uint32_t counter_ = 0;

    auto operator<=>(const HybridTime &) const = default;
    static constexpr auto fields()
    {
        return std::tuple{field("us", &HybridTime::wallMicroseconds_),
                          field("n", &HybridTime::counter_)};
    }
};

} // namespace lycheereach
