/// \file
/// \brief The group chosen for a request.
#pragma once

#include "base/Ids.h"

#include <string>

namespace lycheereach {

/// The group chosen for a request, and where to ask for its permit.
struct Choice
{
    GroupId group_;
    Epoch epoch_ = 0;
    EntryId leaseholder_;
    std::uint64_t leaseNumber_ = 0;
    /// The member that takes the requests.
    UpstreamId upstream_;
    std::string address_;
    /// Blocks of the prefix that the group is likely to have.
    std::size_t matched_ = 0;

    auto operator==(const Choice &) const -> bool = default;
};

} // namespace lycheereach
