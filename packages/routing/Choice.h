/// \file
/// \brief The serving group chosen for a request.
#pragma once

#include "base/Ids.h"

#include <string>

namespace lycheereach {

/// The serving group chosen for a request, and the entry that grants its permits.
struct GroupChoice
{
    GroupId group_;
    Epoch epoch_ = 0;
    /// The entry that holds the group's lease and grants its permits.
    EntryId leaseholder_;
    std::uint64_t leaseNumber_ = 0;
    /// The first member of the group, which receives its requests.
    UpstreamId upstream_;
    std::string address_;
    /// Leading blocks of the prompt that the group probably has in its prefix cache.
    std::size_t matchedBlocks_ = 0;

    auto operator==(const GroupChoice &) const -> bool = default;
};

} // namespace lycheereach
