/// \file
/// \brief A request that the queue gave up.
#pragma once

#include "base/Time.h"
#include "requests/QueueItem.h"

namespace lycheereach {

/// A request that the queue gave up; it has not run.
struct ShedItem
{
    QueueItem item_;
    /// When the queue is expected to be short enough again.
    Duration retryAfter_ = Duration::zero();

    auto operator==(const ShedItem &) const -> bool = default;
};

} // namespace lycheereach
