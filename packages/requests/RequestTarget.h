/// \file
/// \brief Where an attempt goes.
#pragma once

#include "base/Ids.h"

#include <compare>
#include <string>

namespace lycheereach {

/// A serving group or an instance of a plain service, with the instance that takes the request.
struct RequestTarget
{
    /// The group, or the id of the service instance.
    std::string name_;
    /// The epoch of the group, or the incarnation of the service instance.
    Epoch epoch_ = 0;
    /// `IP:port` of the instance that takes the request.
    std::string address_;

    auto operator<=>(const RequestTarget &) const = default;
};

} // namespace lycheereach
