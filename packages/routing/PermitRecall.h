/// \file
/// \brief A permit that its entry has to return unless it has started the request.
#pragma once

#include "routing/Permit.h"

namespace lycheereach {

/// A permit that its entry has to return unless it has started the request.
struct PermitRecall
{
    EntryId entry_;
    Permit permit_;

    auto operator==(const PermitRecall &) const -> bool = default;
};

} // namespace lycheereach
