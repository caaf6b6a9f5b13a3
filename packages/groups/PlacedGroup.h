/// \file
/// \brief The members of a group to form.
#pragma once

#include "base/Ids.h"

#include <vector>

namespace lycheereach {

/// The members of a group to form.
struct PlacedGroup
{
    ZoneName zone_;
    std::vector<UpstreamId> members_;
    /// Whether the members are in more than one fabric domain.
    bool acrossDomains_ = false;

    auto operator==(const PlacedGroup &) const -> bool = default;
};

} // namespace lycheereach
