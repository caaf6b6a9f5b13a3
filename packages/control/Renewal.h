/// \file
/// \brief Message: an entry renews its state lease, or a relay its own.
#pragma once

#include "base/Ids.h"
#include "state/EntryRecord.h"
#include "state/PoolDemand.h"

#include <vector>

namespace lycheereach {

/// Message `control.renew`: an entry renews its state lease with a relay, or a relay with the
/// leader, and asks for what it has not applied.
struct Renewal
{
    std::uint64_t number_ = 0;
    EntryRecord entry_;
    /// The last record that the entry, and every holder of a lease from it, has applied.
    LogIndex confirmed_ = 0;
    /// The last record that the entry itself has applied; the answer goes on behind it.
    LogIndex applied_ = 0;
    /// Of a relay: the entries that hold leases from it.
    std::vector<EntryId> holders_;
    /// What callers ask of the pools at the entry, or of a relay at all entries that renew with it.
    std::vector<PoolDemand> demand_;

    auto operator==(const Renewal &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &Renewal::number_),
                          field("entry", &Renewal::entry_),
                          field("confirmed", &Renewal::confirmed_),
                          field("applied", &Renewal::applied_),
                          optionalField("holders", &Renewal::holders_),
                          optionalField("demand", &Renewal::demand_)};
    }
};

} // namespace lycheereach
