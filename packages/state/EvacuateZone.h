/// \file
/// \brief Command: take an availability zone out or bring it back, idempotent by state.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

namespace lycheereach {

/// Command: take an availability zone out or bring it back. Unlike SetZone it has no operation id:
/// one that finds the zone as it asks for changes nothing, so that it may be sent again.
struct EvacuateZone
{
    ZoneName zone_;
    bool out_ = false;

    auto operator==(const EvacuateZone &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("zone", &EvacuateZone::zone_), field("out", &EvacuateZone::out_)};
    }
};

} // namespace lycheereach
