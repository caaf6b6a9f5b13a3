/// \file
/// \brief The right to start one request at a group.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

struct FleetState;

/// The right to start one request at a group. The taker starts within ttlMs_ of asking for it, and
/// only while its own state still shows this epoch and lease number; otherwise the permit is void.
struct Permit
{
    GroupId group_;
    Epoch epoch_ = 0;
    std::uint64_t leaseNumber_ = 0;
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

/// Whether \a state still shows the epoch and the lease of \a permit, and that someone holds it.
auto isInForce(const FleetState &state, const Permit &permit) -> bool;

} // namespace lycheereach
