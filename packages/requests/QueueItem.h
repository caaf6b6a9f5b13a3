/// \file
/// \brief A request that waits for a permit.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

/// A request that waits for a permit.
struct QueueItem
{
    RequestId request_;
    WorkspaceName workspace_;
    /// The weight of the workspace.
    std::uint32_t weight_ = 1;
    /// 0 to 9; within a workspace higher priorities are served first.
    std::uint32_t priority_ = 5;
    /// By when the caller needs the complete response.
    MonotonicTime deadline_;

    auto operator==(const QueueItem &) const -> bool = default;
};

} // namespace lycheereach
