/// \file
/// \brief The upstream that an attempt is sent to.
#pragma once

#include "base/Ids.h"

#include <compare>
#include <string>

namespace lycheereach {

/// The serving group or instance of a plain service that an attempt is sent to.
struct RequestTarget
{
    /// The name of the group, or the id of the service instance.
    std::string name_;
    /// The epoch of the group, or the incarnation of the service instance.
    Epoch epoch_ = 0;
    /// `IP:port` of the instance that receives the request.
    std::string address_;

    auto operator<=>(const RequestTarget &) const = default;
};

} // namespace lycheereach
