/// \file
/// \brief A permit that its taker should return unstarted.
#pragma once

#include "routing/Permit.h"

namespace lycheereach {

/// A permit that its taker should return unstarted.
struct PermitRecall
{
    EntryId entry_;
    Permit permit_;

    auto operator==(const PermitRecall &) const -> bool = default;
};

} // namespace lycheereach
