/// \file
/// \brief Message: the answer to a Renewal.
#pragma once

#include "base/Ids.h"
#include "control/StateRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// Message `control.grant`: the answer to a Renewal.
struct LeaseGrant
{
    std::uint64_t number_ = 0;
    /// How long the lease lasts from the sending of the renewal; 0 grants none.
    std::int64_t durationMs_ = 0;
    /// The holder works only when it has applied this record.
    LogIndex requiredIndex_ = 0;
    /// Every holder of a lease has applied this record.
    LogIndex inForceIndex_ = 0;
    /// The leader as the grantor knows it; may be empty.
    EntryId leader_;
    std::vector<StateRecord> records_;
    /// The whole state, when the records begin too late.
    std::optional<std::string> snapshot_;

    auto operator==(const LeaseGrant &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &LeaseGrant::number_),
                          field("durationMs", &LeaseGrant::durationMs_),
                          field("requiredIndex", &LeaseGrant::requiredIndex_),
                          field("inForceIndex", &LeaseGrant::inForceIndex_),
                          field("leader", &LeaseGrant::leader_),
                          optionalField("records", &LeaseGrant::records_),
                          field("snapshot", &LeaseGrant::snapshot_)};
    }
};

} // namespace lycheereach
