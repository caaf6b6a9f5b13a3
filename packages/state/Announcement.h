/// \file
/// \brief What an upstream says of itself.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/MemberPhase.h"
#include "state/UpstreamKind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// What an upstream says of itself.
struct Announcement
{
    UpstreamId upstream_;
    /// Rises with every start of the upstream.
    Incarnation incarnation_ = 0;
    /// Rises with every announcement of an incarnation.
    Sequence sequence_ = 0;
    /// `IP:port` of its HTTP server.
    std::string address_;
    ZoneName zone_;
    FabricDomain fabricDomain_;
    /// The pool of an engine, or the name of a plain service.
    PoolName pool_;
    UpstreamKind kind_ = UpstreamKind::Engine;
    std::uint32_t accelerators_ = 0;
    /// Whether it refuses orders with an old fencing number.
    bool checksFencing_ = false;
    bool cold_ = true;
    /// How much longer it stays cold, in milliseconds.
    std::uint32_t coldMs_ = 0;
    /// How many requests at once it can carry now.
    std::optional<std::uint32_t> carries_;
    /// Models whose weights it holds.
    std::vector<std::string> loaded_;
    /// The group it takes itself for a member of.
    GroupId group_;
    Epoch epoch_ = 0;
    std::uint32_t rank_ = 0;
    MemberPhase phase_ = MemberPhase::Idle;
    /// Requests that run there now.
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    /// Whether it is about to stop and wants no new work.
    bool leaving_ = false;

    auto operator==(const Announcement &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &Announcement::upstream_),
                          field("incarnation", &Announcement::incarnation_),
                          field("sequence", &Announcement::sequence_),
                          field("address", &Announcement::address_),
                          field("zone", &Announcement::zone_),
                          optionalField("fabricDomain", &Announcement::fabricDomain_),
                          field("pool", &Announcement::pool_),
                          field("kind", &Announcement::kind_),
                          optionalField("accelerators", &Announcement::accelerators_),
                          optionalField("checksFencing", &Announcement::checksFencing_),
                          optionalField("cold", &Announcement::cold_),
                          optionalField("coldMs", &Announcement::coldMs_),
                          optionalField("carries", &Announcement::carries_),
                          optionalField("loaded", &Announcement::loaded_),
                          optionalField("group", &Announcement::group_),
                          optionalField("epoch", &Announcement::epoch_),
                          optionalField("rank", &Announcement::rank_),
                          optionalField("phase", &Announcement::phase_),
                          optionalField("running", &Announcement::running_),
                          optionalField("queued", &Announcement::queued_),
                          optionalField("leaving", &Announcement::leaving_)};
    }
};

} // namespace lycheereach
