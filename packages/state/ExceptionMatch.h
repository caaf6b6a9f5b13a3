/// \file
/// \brief What an exception applies to; a key that is left out matches everything.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <optional>

namespace lycheereach {

/// What an exception applies to; a key that is left out matches everything.
struct ExceptionMatch
{
    std::optional<ZoneName> zone_;
    std::optional<PoolName> pool_;
    std::optional<UpstreamId> upstream_;

    auto operator==(const ExceptionMatch &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{optionalField("zone", &ExceptionMatch::zone_),
                          optionalField("pool", &ExceptionMatch::pool_),
                          optionalField("upstream", &ExceptionMatch::upstream_)};
    }
};

} // namespace lycheereach
