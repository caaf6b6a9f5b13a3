/// \file
/// \brief The number of groups of a pool and the work expected of it.
#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <limits>

namespace lycheereach {

/// The number of groups of a pool and the work expected of it.
struct PoolSupply
{
    PoolName name_;
    /// Instances per group.
    std::size_t groupSize_ = 1;
    std::size_t groups_ = 0;
    /// The pool's expected work, in any unit that the pools of the same engines share; 0 for a pool
    /// that is to get no more groups.
    double work_ = 0;

    /// Instances per unit of work if the pool had \a groups groups. As load rises, callers of the
    /// pool with the lowest coverage are the first to wait.
    [[nodiscard]] auto coverage(std::size_t groups) const -> double
    {
        if (work_ <= 0)
            return std::numeric_limits<double>::max();
        return static_cast<double>(groupSize_ * groups) / work_;
    }

    auto operator==(const PoolSupply &) const -> bool = default;
};

} // namespace lycheereach
