/// \file
/// \brief How many groups a pool has, beside the work that it is to carry.
#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <limits>

namespace lycheereach {

/// How many groups a pool has, beside the work that it is to carry.
struct PoolSupply
{
    PoolName name_;
    /// Instances in a group.
    std::size_t size_ = 1;
    std::size_t groups_ = 0;
    /// The pool's part of all work on the engines, in any unit that the pools share; 0 for a pool
    /// that is to get no more groups.
    double work_ = 0;

    /// Instances for each unit of work with \a groups groups; the pool with the least is the one
    /// whose callers wait first.
    [[nodiscard]] auto coverage(std::size_t groups) const -> double
    {
        if (work_ <= 0)
            return std::numeric_limits<double>::max();
        return static_cast<double>(size_ * groups) / work_;
    }

    auto operator==(const PoolSupply &) const -> bool = default;
};

} // namespace lycheereach
