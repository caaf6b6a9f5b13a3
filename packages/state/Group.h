/// \file
/// \brief A serving group.
///
/// A plain service is a group of one whose pool is the name of the service; it gets no orders.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/GroupPhase.h"

#include <cstdint>
#include <vector>

namespace lycheereach {

/// A serving group.
struct Group
{
    GroupId id_;
    PoolName pool_;
    ZoneName zone_;
    /// Rises with every change of members.
    Epoch epoch_ = 0;
    /// Of the orders of this epoch; rises over all groups.
    FencingNumber fencing_ = 0;
    /// By rank; the first takes the requests.
    std::vector<UpstreamId> members_;
    GroupPhase phase_ = GroupPhase::Forming;
    /// Whether its first member may have been told in this epoch to take requests.
    bool mayBeOpen_ = false;
    /// The entry that grants permits; empty between two holders.
    EntryId leaseholder_;
    /// Rises with every grant of the lease.
    std::uint64_t leaseNumber_ = 0;
    /// Place in the log of the last change of the lease; a revocation must be in force everywhere
    /// before the lease is granted again.
    LogIndex leaseChangedAt_ = 0;

    auto operator==(const Group &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &Group::id_),
                          field("pool", &Group::pool_),
                          field("zone", &Group::zone_),
                          field("epoch", &Group::epoch_),
                          field("fencing", &Group::fencing_),
                          field("members", &Group::members_),
                          field("phase", &Group::phase_),
                          optionalField("mayBeOpen", &Group::mayBeOpen_),
                          optionalField("leaseholder", &Group::leaseholder_),
                          optionalField("leaseNumber", &Group::leaseNumber_),
                          optionalField("leaseChangedAt", &Group::leaseChangedAt_)};
    }
};

} // namespace lycheereach
