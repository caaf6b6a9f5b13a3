/// \file
/// \brief Message: when an entry last received data from an upstream.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// Message `evidence.serves`: an entry's answer to a ServingQuery.
struct ServingAnswer
{
    UpstreamId upstream_;
    /// How long ago the entry last received part of an answer from the upstream, in milliseconds.
    std::int64_t ageMs_ = 0;

    auto operator==(const ServingAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &ServingAnswer::upstream_),
                          field("ageMs", &ServingAnswer::ageMs_)};
    }
};

} // namespace lycheereach
