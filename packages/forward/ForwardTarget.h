/// \file
/// \brief The upstream that a forwarded request goes to.
#pragma once

#include "base/Ids.h"

#include <string>

namespace lycheereach {

/// The upstream that a forwarded request goes to: an instance of a plain service, or the first
/// member of a group of engines.
struct ForwardTarget
{
    UpstreamId upstream_;
    Incarnation incarnation_ = 0;
    /// `IP:port`.
    std::string address_;
    /// The pool of the group, or the name of the plain service.
    PoolName pool_;
    ZoneName zone_;

    auto operator==(const ForwardTarget &) const -> bool = default;
};

} // namespace lycheereach
