/// \file
/// \brief What is fixed about a forwarded request before its first attempt.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "state/RouteKind.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// What is fixed about a forwarded request before its first attempt.
struct ForwardPlan
{
    RequestId requestId_;
    RouteKind kind_ = RouteKind::Unsafe;
    /// When the caller or the route gives up.
    MonotonicTime deadline_;
    /// Upstreams that the request may be sent to.
    std::uint32_t attemptLimit_ = 1;
    /// The last event that the caller has of a stream which it resumes.
    std::optional<std::uint64_t> lastEventId_;

    auto operator==(const ForwardPlan &) const -> bool = default;
};

} // namespace lycheereach
