/// \file
/// \brief Command: an upstream has deregistered and gets no new work; another incarnation voids it.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <optional>

namespace lycheereach {

/// Command: an upstream has deregistered and gets no new work; another incarnation voids it. One
/// that said before that it leaves has ended; any other finishes what it has.
struct RetireUpstream
{
    UpstreamId upstream_;
    /// Nothing for the one that is known when the command is applied.
    std::optional<Incarnation> incarnation_;

    auto operator==(const RetireUpstream &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &RetireUpstream::upstream_),
                          optionalField("incarnation", &RetireUpstream::incarnation_)};
    }
};

} // namespace lycheereach
