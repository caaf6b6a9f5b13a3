/// \file
/// \brief Message: when an entry last received data from an upstream.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// Message `evidence.serves`: an entry's answer to a EvidenceQuery.
struct EvidenceAnswer
{
    UpstreamId upstream_;
    /// How long ago the entry last received part of an answer from the upstream, in milliseconds.
    std::int64_t ageMs_ = 0;

    auto operator==(const EvidenceAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &EvidenceAnswer::upstream_),
                          field("ageMs", &EvidenceAnswer::ageMs_)};
    }
};

} // namespace lycheereach
