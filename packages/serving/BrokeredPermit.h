/// \file
/// \brief A permit granted to this entry, with the group that it is for.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "routing/Choice.h"
#include "routing/Permit.h"

#include <string>

namespace lycheereach {

/// A permit granted to this entry, with the group that it is for.
struct BrokeredPermit
{
    Permit permit_;
    GroupChoice choice_;
    /// The request must be started before this time.
    MonotonicTime validUntil_;
    /// Fingerprint of a request suspected of crashing upstreams; empty for other requests.
    std::string suspectFingerprint_;
    PoolName pool_;
};

} // namespace lycheereach
