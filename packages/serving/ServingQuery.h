/// \file
/// \brief A question of control to an entry about an upstream.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

namespace lycheereach {

/// Asks an entry when an upstream that requests are sent to last gave it a part of an answer.
struct ServingQuery
{
    UpstreamId upstream_;

    auto operator==(const ServingQuery &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &ServingQuery::upstream_)};
    }
};

} // namespace lycheereach
