/// \file
/// \brief A part of a route's requests and where it goes.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// A part of a route's requests and where it goes.
struct RouteShare
{
    /// A plain service, or the engines that several pools share.
    PoolName service_;
    /// Relative to the other shares of the route.
    std::uint32_t weight_ = 1;

    auto operator==(const RouteShare &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("service", &RouteShare::service_),
                          optionalField("weight", &RouteShare::weight_)};
    }
};

} // namespace lycheereach
