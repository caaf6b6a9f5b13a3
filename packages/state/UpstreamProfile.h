/// \file
/// \brief What the declaration says about all upstreams of one service.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/EngineTimes.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// What the declaration says about all upstreams of one service, or about all engines that several
/// pools share.
struct UpstreamProfile
{
    PoolName name_;
    /// Answers 200 while the upstream is healthy.
    std::string healthPath_ = "/health";
    /// Connections that one upstream takes from all entries together.
    std::uint32_t connectionLimit_ = 100;
    /// Requests a second that a cold upstream carries from all entries together; 0 for no limit.
    double coldPerSecond_ = 0;
    /// Requests that an upstream runs at once; 0 when it is not known.
    std::uint32_t slots_ = 0;
    /// Loads of weights that may begin in a second over all engines; 0 for no limit.
    double loadsPerSecond_ = 0;
    /// A group of engines whose member is gone stands still for so long before it is broken, in
    /// milliseconds.
    std::uint32_t stallMs_ = 5000;
    EngineTimes times_;

    auto operator==(const UpstreamProfile &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("name", &UpstreamProfile::name_),
                          optionalField("healthPath", &UpstreamProfile::healthPath_),
                          optionalField("connectionLimit", &UpstreamProfile::connectionLimit_),
                          optionalField("coldPerSecond", &UpstreamProfile::coldPerSecond_),
                          optionalField("slots", &UpstreamProfile::slots_),
                          optionalField("loadsPerSecond", &UpstreamProfile::loadsPerSecond_),
                          optionalField("stallMs", &UpstreamProfile::stallMs_),
                          optionalField("times", &UpstreamProfile::times_)};
    }
};

} // namespace lycheereach
