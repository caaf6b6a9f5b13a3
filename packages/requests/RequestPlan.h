/// \file
/// \brief What is fixed about a request before its first attempt.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/AnswerKind.h"
#include "requests/SuspicionRuling.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// What is fixed about a request before its first attempt.
struct RequestPlan
{
    RequestId request_;
    /// Whether it may run more than once.
    bool repeatable_ = true;
    /// Qualified by workspace and route; empty without one.
    IdempotencyKey key_;
    /// requestDigest() of method, route and body.
    std::string digest_;
    AnswerKind answer_ = AnswerKind::Bytes;
    /// What the suspicion table says of the digest.
    SuspicionRuling suspicion_ = SuspicionRuling::Clear;
    /// The most tokens that the caller asked for.
    std::optional<std::uint64_t> tokenLimit_;
    MonotonicTime deadline_;
    std::uint32_t attemptLimit_ = 3;
    /// How long after asking for it a claim gives the right to dispatch.
    Duration claimTtl_ = std::chrono::seconds(2);

    auto operator==(const RequestPlan &) const -> bool = default;
};

} // namespace lycheereach
