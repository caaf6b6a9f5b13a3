/// \file
/// \brief The right to dispatch one request that must not be repeated.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/ClaimPhase.h"
#include "state/StoredAnswer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// The right to dispatch one request that must not be repeated.
struct Claim
{
    IdempotencyKey key_;
    /// Of method, route and body.
    std::string digest_;
    EntryId holder_;
    Incarnation holderIncarnation_ = 0;
    RequestId request_;
    ClaimPhase phase_ = ClaimPhase::Claimed;
    std::optional<StoredAnswer> answer_;
    /// Wall time by the leader, in milliseconds since 1970.
    std::int64_t claimedAtMs_ = 0;

    auto operator==(const Claim &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("key", &Claim::key_),
                          field("digest", &Claim::digest_),
                          field("holder", &Claim::holder_),
                          field("holderIncarnation", &Claim::holderIncarnation_),
                          field("request", &Claim::request_),
                          field("phase", &Claim::phase_),
                          optionalField("answer", &Claim::answer_),
                          field("claimedAtMs", &Claim::claimedAtMs_)};
    }
};

} // namespace lycheereach
