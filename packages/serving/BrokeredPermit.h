/// \file
/// \brief A permit in the hands of the entry that starts the request.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "routing/Choice.h"
#include "routing/Permit.h"

#include <string>

namespace lycheereach {

/// A permit in the hands of the entry that starts the request.
struct BrokeredPermit
{
    Permit permit_;
    Choice choice_;
    /// The end of the right to start.
    MonotonicTime validUntil_;
    /// The fingerprint of a suspect; empty for other requests.
    std::string suspect_;
    PoolName pool_;
};

} // namespace lycheereach
