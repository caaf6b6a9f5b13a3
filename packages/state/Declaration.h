/// \file
/// \brief What operators declare: the fleet by defaults and exceptions.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/ExceptionRule.h"
#include "state/HttpRoute.h"
#include "state/Policy.h"
#include "state/Pool.h"
#include "state/RequestLimits.h"
#include "state/Service.h"
#include "state/UpstreamProfile.h"
#include "state/Workspace.h"

#include <optional>
#include <vector>

namespace lycheereach {

/// What operators declare: the fleet by defaults and exceptions.
struct Declaration
{
    Policy defaults_;
    std::vector<ZoneName> zones_;
    std::vector<Pool> pools_;
    std::vector<Service> services_;
    std::vector<Workspace> workspaces_;
    std::vector<ExceptionRule> exceptions_;
    /// Routes whose requests are forwarded unchanged.
    std::vector<HttpRoute> routes_;
    std::vector<UpstreamProfile> profiles_;
    /// The limits of requests on routes; the defaults without it.
    std::optional<RequestLimits> requestLimits_;
    /// The outcome under an Idempotency-Key is kept for this time, in hours.
    std::uint32_t claimRetentionHours_ = 24;

    auto operator==(const Declaration &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{optionalField("defaults", &Declaration::defaults_),
                          field("zones", &Declaration::zones_),
                          optionalField("pools", &Declaration::pools_),
                          optionalField("services", &Declaration::services_),
                          optionalField("workspaces", &Declaration::workspaces_),
                          optionalField("exceptions", &Declaration::exceptions_),
                          optionalField("routes", &Declaration::routes_),
                          optionalField("profiles", &Declaration::profiles_),
                          field("requestLimits", &Declaration::requestLimits_),
                          optionalField("claimRetentionHours", &Declaration::claimRetentionHours_)};
    }
};

} // namespace lycheereach
