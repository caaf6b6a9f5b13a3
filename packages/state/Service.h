/// \file
/// \brief A plain service that requests are routed to by name.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/ServiceRoute.h"

#include <vector>

namespace lycheereach {

/// A plain service that requests are routed to by name.
struct Service
{
    PoolName name_;
    /// The longest matching path decides; GET and HEAD may be repeated unless declared otherwise.
    std::vector<ServiceRoute> routes_;

    auto operator==(const Service &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("name", &Service::name_),
                          optionalField("routes", &Service::routes_)};
    }
};

} // namespace lycheereach
