/// \file
/// \brief Command: store the outcome of a claim; only its own request settles it.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/ClaimPhase.h"
#include "state/StoredAnswer.h"

#include <optional>

namespace lycheereach {

/// Command: store the outcome of a claim; only its own request settles it.
struct SettleClaim
{
    IdempotencyKey key_;
    RequestId request_;
    ClaimPhase phase_ = ClaimPhase::Completed;
    std::optional<StoredAnswer> answer_;

    auto operator==(const SettleClaim &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{
            field("key", &SettleClaim::key_), field("request", &SettleClaim::request_),
            field("phase", &SettleClaim::phase_), optionalField("answer", &SettleClaim::answer_)};
    }
};

} // namespace lycheereach
