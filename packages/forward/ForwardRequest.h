/// \file
/// \brief A caller's request that is forwarded unchanged, as the dialect of the entry read it.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "transport/HttpRequest.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// A caller's request that is forwarded unchanged, as the dialect of the entry read it.
struct ForwardRequest
{
    /// As it came.
    HttpRequest http_;
    RequestId id_;
    std::string host_;
    /// When the entry had read it.
    MonotonicTime arrivedAt_;
    /// Whether it waited until the entry could take work.
    bool wasHeld_ = false;
    /// The caller's key; empty without one.
    std::string key_;
    /// How long the caller waits from the arrival on; nothing when it does not say.
    std::optional<Duration> patience_;
    /// The model that a request to engines asks for; empty for a plain service.
    std::string model_;
    std::uint64_t promptTokens_ = 0;
    /// The most tokens that the answer may have.
    std::uint64_t answerTokens_ = 0;
    /// How many tokens the caller expects the answer to have; answerTokens_ when it does not say.
    std::uint64_t expectedTokens_ = 0;
    /// The last event that the caller has of a stream which it resumes.
    std::optional<std::uint64_t> lastEventId_;

    auto operator==(const ForwardRequest &) const -> bool = default;
};

} // namespace lycheereach
