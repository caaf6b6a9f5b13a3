/// \file
/// \brief Command: a new epoch of a group; refused when a member is in another group.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <vector>

namespace lycheereach {

/// Command: a new epoch of a group; refused when a member is in another group.
struct FormGroup
{
    GroupId id_;
    PoolName pool_;
    ZoneName zone_;
    /// 0 for a new group.
    Epoch previousEpoch_ = 0;
    std::vector<UpstreamId> members_;
    /// Whether the epoch rises over all groups, for engines that refuse one lower than any that
    /// they have seen.
    bool fleetEpoch_ = false;

    auto operator==(const FormGroup &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &FormGroup::id_),
                          field("pool", &FormGroup::pool_),
                          field("zone", &FormGroup::zone_),
                          field("previousEpoch", &FormGroup::previousEpoch_),
                          field("members", &FormGroup::members_),
                          optionalField("fleetEpoch", &FormGroup::fleetEpoch_)};
    }
};

} // namespace lycheereach
