/// \file
/// \brief Message `permit.note`: a permit was started or its request has ended.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "routing/PermitOutcome.h"

#include <optional>
#include <string>

namespace lycheereach {

/// Message `permit.note`: a permit was started, or its request has ended.
struct PermitNote
{
    GroupId group_;
    std::uint64_t leaseNumber_ = 0;
    std::uint64_t number_ = 0;
    /// How the request ended; empty in a note that it was started.
    std::optional<PermitOutcome> outcome_;
    /// Time to the first byte of the answer, in milliseconds.
    std::int64_t latencyMs_ = 0;
    /// Fingerprint of a request suspected of crashing upstreams; empty for other requests.
    std::string suspectFingerprint_;

    auto operator==(const PermitNote &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("group", &PermitNote::group_),
                          field("leaseNumber", &PermitNote::leaseNumber_),
                          field("number", &PermitNote::number_),
                          field("outcome", &PermitNote::outcome_),
                          optionalField("latencyMs", &PermitNote::latencyMs_),
                          optionalField("suspect", &PermitNote::suspectFingerprint_)};
    }
};

} // namespace lycheereach
