/// \file
/// \brief A request that needs a permit from the PermitBroker.
#pragma once

#include "requests/QueueItem.h"
#include "routing/GroupChoiceRequest.h"

#include <string>

namespace lycheereach {

/// A request that needs a permit from the PermitBroker.
struct PermitRequest
{
    QueueItem queueItem_;
    /// Its pool and prompt prefix, and the groups to choose only when there is no other.
    GroupChoiceRequest choiceRequest_;
    /// Fingerprint of a request suspected of crashing upstreams; empty for other requests.
    std::string suspectFingerprint_;
};

} // namespace lycheereach
