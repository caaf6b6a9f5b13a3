/// \file
/// \brief Message `permit.loads`: the loads of the groups that a leaseholder holds.
#pragma once

#include "base/JsonCodec.h"
#include "routing/GroupLoad.h"

#include <vector>

namespace lycheereach {

/// Message `permit.loads`: the loads of the groups that a leaseholder holds.
struct LoadReport
{
    std::vector<GroupLoad> loads_;

    auto operator==(const LoadReport &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{field("loads", &LoadReport::loads_)}; }
};

} // namespace lycheereach
