/// \file
/// \brief A caller's request as read and checked.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/ChatRequest.h"
#include "requests/ResponseFraming.h"
#include "routing/PrefixIndex.h"

#include <optional>
#include <string>

namespace lycheereach {

/// A caller's request as read and checked.
struct CallerRequest
{
    RequestId id_;
    WorkspaceName workspace_;
    std::uint32_t weight_ = 1;
    std::uint32_t priority_ = 5;
    MonotonicTime deadline_;
    PoolName pool_;
    std::string method_;
    /// Path and query at the upstream.
    std::string target_;
    std::string body_;
    std::string contentType_;
    /// As the caller gave it; empty without one.
    std::string callerKey_;
    /// Qualified by workspace and route.
    IdempotencyKey key_;
    std::string digest_;
    bool repeatable_ = true;
    ResponseFraming answer_ = ResponseFraming::HttpBody;
    PrefixChain prefix_;
    /// Of a chat completion.
    std::optional<ChatRequest> chat_;
};

} // namespace lycheereach
