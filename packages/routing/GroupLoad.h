/// \file
/// \brief The load of a serving group as its leaseholder reports it to other entries.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// The load of a serving group as its leaseholder reports it to other entries.
struct GroupLoad
{
    GroupId group_;
    std::uint64_t leaseNumber_ = 0;
    /// Permits in use.
    std::uint32_t inUse_ = 0;
    /// Permits that may be in use at once; 0 while the group gets no requests.
    std::uint32_t limit_ = 0;
    /// Whether the group is cold or its limit is still below that of a warm group.
    bool cold_ = false;

    auto operator==(const GroupLoad &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("group", &GroupLoad::group_),
                          field("leaseNumber", &GroupLoad::leaseNumber_),
                          field("inUse", &GroupLoad::inUse_), field("limit", &GroupLoad::limit_),
                          field("cold", &GroupLoad::cold_)};
    }
};

} // namespace lycheereach
