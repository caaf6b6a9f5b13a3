/// \file
/// \brief A request that the queue shed.
#pragma once

#include "base/Time.h"
#include "requests/QueueItem.h"

namespace lycheereach {

/// A request that expired in the queue or was rejected to limit load; it has not run.
struct ShedItem
{
    QueueItem item_;
    /// The time after which the caller may retry.
    Duration retryAfter_ = Duration::zero();

    auto operator==(const ShedItem &) const -> bool = default;
};

} // namespace lycheereach
