/// \file
/// \brief An instance of lycheereach as the control state knows it.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/EntryPhase.h"

#include <string>

namespace lycheereach {

/// An instance of lycheereach as the control state knows it.
struct EntryRecord
{
    EntryId id_;
    Incarnation incarnation_ = 0;
    ZoneName zone_;
    /// `IP:port` for callers, operators and upstreams.
    std::string address_;
    /// `IP:port` for other entries.
    std::string peerAddress_;
    EntryPhase phase_ = EntryPhase::Live;
    /// Whether it keeps the control log, as a voter or a learner.
    bool control_ = false;

    auto operator==(const EntryRecord &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &EntryRecord::id_),
                          field("incarnation", &EntryRecord::incarnation_),
                          field("zone", &EntryRecord::zone_),
                          field("address", &EntryRecord::address_),
                          field("peerAddress", &EntryRecord::peerAddress_),
                          field("phase", &EntryRecord::phase_),
                          optionalField("control", &EntryRecord::control_)};
    }
};

} // namespace lycheereach
