/// \file
/// \brief What the choice of a serving group for a request depends on.
#pragma once

#include "routing/PrefixIndex.h"

#include <set>

namespace lycheereach {

/// What the choice of a serving group for a request depends on.
struct GroupChoiceRequest
{
    PoolName pool_;
    /// Empty when the prompt is unknown.
    PrefixChain prefix_;
    /// 0 to 9, higher first.
    std::uint32_t priority_ = 5;
    /// Groups not to choose, for example because an attempt there failed or was refused.
    std::set<GroupId> excludedGroups_;
};

} // namespace lycheereach
