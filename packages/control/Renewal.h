/// \file
/// \brief Message: the request of an entry or a relay to renew its state lease.
#pragma once

#include "base/Ids.h"
#include "state/EntryRecord.h"
#include "state/PoolDemand.h"

#include <vector>

namespace lycheereach {

/// Message `control.renew`: an entry renews its state lease with a relay, or a relay with the
/// leader. The answer also carries the records that an entry without a log has not applied.
struct Renewal
{
    /// Chosen by the sender; the grant repeats it.
    std::uint64_t number_ = 0;
    /// The sender.
    EntryRecord entry_;
    /// The last record that the sender and every holder of a lease granted by it have applied.
    LogIndex confirmed_ = 0;
    /// The last record that the sender itself has applied; the answer starts with the next one.
    LogIndex applied_ = 0;
    /// From a relay: the entries that renewed with it recently.
    std::vector<EntryId> holders_;
    /// The demand of callers on each pool at the sender; from a relay, summed over all entries that
    /// renew with it.
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
