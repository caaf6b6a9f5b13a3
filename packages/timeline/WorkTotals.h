/// \file
/// \brief The time that one kind of work took.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

/// The number of runs of one kind of work and the time that they took.
struct WorkTotals
{
    std::uint64_t runs_ = 0;
    Duration time_ = Duration::zero();
    Duration longest_ = Duration::zero();

    auto operator==(const WorkTotals &) const -> bool = default;
};

} // namespace lycheereach
