/// \file
/// \brief Message `control.grant`: a lease, committed records, or both.
#pragma once

#include "base/Ids.h"
#include "control/StateRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// Message `control.grant`: the answer to a Renewal. A grantor also sends it unasked, without a
/// lease, to deliver new records or a new in-force index.
struct LeaseGrant
{
    /// The number of the renewal; 0 when sent unasked.
    std::uint64_t number_ = 0;
    /// The duration of the lease, counted from the sending of the renewal; 0 when no lease is
    /// granted.
    std::int64_t durationMs_ = 0;
    /// The holder may take work only after it has applied this record.
    LogIndex requiredIndex_ = 0;
    /// Every holder of a lease has applied this record.
    LogIndex inForceIndex_ = 0;
    /// The leader known to the grantor; empty when it knows none.
    EntryId leader_;
    /// The leader's `IP:port` for other entries, for a control instance that renews with another
    /// process; empty when unknown.
    std::string leaderAddress_;
    /// Committed records for an entry without a log, in order of their index.
    std::vector<StateRecord> records_;
    /// The whole state, when the log no longer holds the first record that the receiver lacks.
    std::optional<std::string> snapshot_;

    auto operator==(const LeaseGrant &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &LeaseGrant::number_),
                          field("durationMs", &LeaseGrant::durationMs_),
                          field("requiredIndex", &LeaseGrant::requiredIndex_),
                          field("inForceIndex", &LeaseGrant::inForceIndex_),
                          field("leader", &LeaseGrant::leader_),
                          optionalField("leaderAddress", &LeaseGrant::leaderAddress_),
                          optionalField("records", &LeaseGrant::records_),
                          field("snapshot", &LeaseGrant::snapshot_)};
    }
};

} // namespace lycheereach
