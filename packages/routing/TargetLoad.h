/// \file
/// \brief The load of a group as its leaseholder tells it to other entries.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// The load of a group as its leaseholder tells it to other entries.
struct TargetLoad
{
    GroupId group_;
    std::uint64_t leaseNumber_ = 0;
    /// Permits in use.
    std::uint32_t inUse_ = 0;
    /// Permits that may be in use; 0 while the group doesn't serve.
    std::uint32_t limit_ = 0;
    bool cold_ = false;

    auto operator==(const TargetLoad &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("group", &TargetLoad::group_),
                          field("leaseNumber", &TargetLoad::leaseNumber_),
                          field("inUse", &TargetLoad::inUse_), field("limit", &TargetLoad::limit_),
                          field("cold", &TargetLoad::cold_)};
    }
};

} // namespace lycheereach
