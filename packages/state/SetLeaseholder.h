/// \file
/// \brief Command: revoke the lease on a group (empty entry) or grant it.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// Command: revoke the lease on a group (empty entry) or grant it.
struct SetLeaseholder
{
    GroupId id_;
    /// Another one voids the command.
    std::uint64_t previousLeaseNumber_ = 0;
    EntryId entry_;

    auto operator==(const SetLeaseholder &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &SetLeaseholder::id_),
                          field("previousLeaseNumber", &SetLeaseholder::previousLeaseNumber_),
                          optionalField("entry", &SetLeaseholder::entry_)};
    }
};

} // namespace lycheereach
