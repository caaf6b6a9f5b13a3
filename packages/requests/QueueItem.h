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
    /// 0 to 9, higher first within the workspace.
    std::uint32_t priority_ = 5;
    MonotonicTime deadline_;

    auto operator==(const QueueItem &) const -> bool = default;
};

} // namespace lycheereach
