/// \file
/// \brief What a request asks of the choice of a group.
#pragma once

#include "routing/PrefixIndex.h"

#include <set>

namespace lycheereach {

/// What a request asks of the choice.
struct ChoiceRequest
{
    PoolName pool_;
    PrefixChain prefix_;
    /// 0 to 9, higher first.
    std::uint32_t priority_ = 5;
    /// Groups not to choose, for example those that failed or refused.
    std::set<GroupId> avoid_;
};

} // namespace lycheereach
