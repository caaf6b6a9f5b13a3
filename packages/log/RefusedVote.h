/// \file
/// \brief A vote that a replica did not grant.
#pragma once

#include "base/Ids.h"
#include "log/VoteRefusal.h"

namespace lycheereach {

struct RefusedVote
{
    EntryId candidate_;
    VoteRefusal reason_ = VoteRefusal::NoCluster;

    auto operator==(const RefusedVote &) const -> bool = default;
};

} // namespace lycheereach
