/// \file
/// \brief The right to start one request at a serving group.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

struct FleetState;

/// The right to start one request at a serving group. The entry that asked for the permit must
/// start the request within ttlMs_ of asking, and only while its own state shows this epoch and
/// lease number of the group; otherwise the permit is void.
struct Permit
{
    GroupId group_;
    Epoch epoch_ = 0;
    std::uint64_t leaseNumber_ = 0;
    /// Unique within the lease.
    std::uint64_t number_ = 0;
    std::uint32_t ttlMs_ = 0;

    auto operator==(const Permit &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("group", &Permit::group_), field("epoch", &Permit::epoch_),
                          field("leaseNumber", &Permit::leaseNumber_),
                          field("number", &Permit::number_), field("ttlMs", &Permit::ttlMs_)};
    }
};

/// Whether the group of \a permit has the same epoch and lease number in \a state, and a
/// leaseholder.
auto isStillValid(const FleetState &state, const Permit &permit) -> bool;

} // namespace lycheereach
