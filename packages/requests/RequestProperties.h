/// \file
/// \brief The properties of a request that are known before its first attempt.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/ResponseFraming.h"
#include "requests/SuspicionStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// The properties of a request that are known before its first attempt and never change.
struct RequestProperties
{
    RequestId request_;
    /// Whether the request may run more than once.
    bool repeatable_ = true;
    /// The caller's idempotency key, qualified by workspace and route; empty when there is none.
    IdempotencyKey idempotencyKey_;
    /// requestDigest() of method, route and body.
    std::string digest_;
    /// What is reported when an upstream crashes on the request: the digest, and the fingerprints
    /// of the parts of its prompt.
    std::vector<std::string> fingerprints_;
    /// How the end of a complete response is recognized.
    ResponseFraming framing_ = ResponseFraming::HttpBody;
    /// The ruling of the suspicion table on the fingerprints.
    SuspicionStatus suspicion_ = SuspicionStatus::Clear;
    /// The caller's `max_tokens`.
    std::optional<std::uint64_t> maxTokens_;
    MonotonicTime deadline_;
    /// Maximum number of attempts, including the first.
    std::uint32_t attemptLimit_ = 3;
    /// How long after it was requested a claim allows dispatching the request.
    Duration claimTtl_ = std::chrono::seconds(2);

    auto operator==(const RequestProperties &) const -> bool = default;
};

} // namespace lycheereach
