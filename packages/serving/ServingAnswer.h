/// \file
/// \brief An entry's answer to a question about an upstream.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// An entry's answer to a ServingQuery.
struct ServingAnswer
{
    UpstreamId upstream_;
    /// How long ago the upstream last gave a part of an answer, in milliseconds.
    std::int64_t ageMs_ = 0;

    auto operator==(const ServingAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &ServingAnswer::upstream_),
                          field("ageMs", &ServingAnswer::ageMs_)};
    }
};

} // namespace lycheereach
