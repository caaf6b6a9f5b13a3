/// \file
/// \brief A caller's request that is forwarded unchanged, as parsed by the dialect of the entry.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "transport/HttpRequest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// A caller's request that is forwarded unchanged, as parsed by the dialect of the entry.
struct ForwardRequest
{
    /// The request as received.
    HttpRequest http_;
    RequestId id_;
    /// From the `Host` header, without the port.
    std::string host_;
    /// When the entry had read the request.
    MonotonicTime arrivedAt_;
    /// Whether the request was held until the entry could serve it.
    bool wasHeld_ = false;
    /// The caller's API key; empty without one.
    std::string apiKey_;
    /// The caller's timeout, from the arrival; nothing when the caller gives none.
    std::optional<Duration> callerTimeout_;
    /// The requested model; empty for a plain service.
    std::string model_;
    std::uint64_t promptTokens_ = 0;
    /// Maximum number of tokens in the answer.
    std::uint64_t maxOutputTokens_ = 0;
    /// Number of tokens that the caller expects in the answer; maxOutputTokens_ when it gives none.
    std::uint64_t expectedOutputTokens_ = 0;
    /// Id of the last event received by a caller that resumes a stream; nothing otherwise.
    std::optional<std::uint64_t> lastEventId_;
    /// Of the whole request and of the parts of its prompt; see requests/RequestFingerprint.h.
    std::vector<std::string> fingerprints_;

    auto operator==(const ForwardRequest &) const -> bool = default;
};

} // namespace lycheereach
