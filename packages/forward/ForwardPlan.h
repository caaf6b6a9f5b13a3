/// \file
/// \brief Properties of a forwarded request that are fixed before its first attempt.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "state/RouteKind.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// Properties of a forwarded request that are fixed before its first attempt.
struct ForwardPlan
{
    RequestId requestId_;
    RouteKind kind_ = RouteKind::Unsafe;
    /// End of the caller's or the route's timeout, whichever is earlier.
    MonotonicTime deadline_;
    /// Attempts that may reach an upstream.
    std::uint32_t attemptLimit_ = 1;
    /// Id of the last event that a caller names when it asks again for a stream, for example
    /// because its event source has reconnected. Counts only for RouteKind::ResumableStream: other
    /// streams start afresh.
    std::optional<std::uint64_t> lastEventId_;

    auto operator==(const ForwardPlan &) const -> bool = default;
};

} // namespace lycheereach
