/// \file
/// \brief A caller's request after parsing and validation.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/ChatRequest.h"
#include "requests/ResponseFraming.h"
#include "routing/PrefixIndex.h"
#include "transport/HttpBody.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// A caller's request after parsing and validation.
struct CallerRequest
{
    RequestId id_;
    WorkspaceName workspace_;
    /// Share of the workspace in fair queueing.
    std::uint32_t weight_ = 1;
    /// 0 to 9.
    std::uint32_t priority_ = 5;
    MonotonicTime deadline_;
    /// Model pool or plain service.
    PoolName pool_;
    std::string method_;
    /// Path and query at the upstream.
    std::string target_;
    HttpBody body_;
    std::string contentType_;
    /// Value of the `Idempotency-Key` header; empty without one.
    std::string idempotencyKeyHeader_;
    /// The caller's key qualified by workspace and pool; empty for repeatable requests.
    IdempotencyKey claimKey_;
    /// requestDigest() of method, pool with target, and body.
    std::string digest_;
    /// The digest, then one for each chat message but the last.
    std::vector<std::string> fingerprints_;
    /// Whether it may run more than once.
    bool repeatable_ = true;
    ResponseFraming answerKind_ = ResponseFraming::HttpBody;
    /// Of the chat messages; empty for other requests.
    PrefixChain prefix_;
    /// Set for chat completions only.
    std::optional<ChatRequest> chat_;
};

} // namespace lycheereach
