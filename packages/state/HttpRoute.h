/// \file
/// \brief A route by host and path whose requests are forwarded unchanged.
#pragma once

#include "base/JsonCodec.h"
#include "state/RouteKind.h"
#include "state/RouteShare.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheereach {

/// A route by host and path whose requests are forwarded unchanged. Of a host's routes the one with
/// the longest matching prefix decides.
struct HttpRoute
{
    std::string name_;
    std::string host_;
    /// Begins and ends with a slash.
    std::string pathPrefix_;
    RouteKind kind_ = RouteKind::Unsafe;
    std::vector<RouteShare> shares_;
    /// The longest time that a caller is kept waiting, in milliseconds.
    std::uint32_t timeoutMs_ = 60000;
    /// The time to the answer, or to the first event, that the operator aims at, in milliseconds.
    std::uint32_t objectiveMs_ = 1000;
    /// The longest pause between events that the operator aims at, in milliseconds; 0 without one.
    std::uint32_t gapObjectiveMs_ = 0;
    /// Upstreams that one request may be sent to.
    std::uint32_t attemptLimit_ = 1;
    /// 0 is the most urgent.
    std::uint32_t priority_ = 5;
    /// Whether callers need no key.
    bool isPublic_ = false;

    auto operator==(const HttpRoute &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("name", &HttpRoute::name_),
                          field("host", &HttpRoute::host_),
                          field("pathPrefix", &HttpRoute::pathPrefix_),
                          field("kind", &HttpRoute::kind_),
                          field("shares", &HttpRoute::shares_),
                          optionalField("timeoutMs", &HttpRoute::timeoutMs_),
                          optionalField("objectiveMs", &HttpRoute::objectiveMs_),
                          optionalField("gapObjectiveMs", &HttpRoute::gapObjectiveMs_),
                          optionalField("attemptLimit", &HttpRoute::attemptLimit_),
                          optionalField("priority", &HttpRoute::priority_),
                          optionalField("public", &HttpRoute::isPublic_)};
    }
};

} // namespace lycheereach
