/// \file
/// \brief Message: asks an entry when it last received data from an upstream.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

namespace lycheereach {

/// Message `evidence.query`: a control process asks an entry when it last received part of an
/// answer from an upstream.
struct EvidenceQuery
{
    /// The first member, which receives the requests, for an upstream in a group.
    UpstreamId upstream_;

    auto operator==(const EvidenceQuery &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &EvidenceQuery::upstream_)};
    }
};

} // namespace lycheereach
