/// \file
/// \brief What a request asks of the PermitBroker.
#pragma once

#include "requests/QueueItem.h"
#include "routing/ChoiceRequest.h"

#include <string>

namespace lycheereach {

/// What a request asks of the PermitBroker.
struct PermitRequest
{
    QueueItem item_;
    /// Its pool, prompt prefix and the groups to be taken only when there is no other.
    ChoiceRequest choice_;
    /// The fingerprint of a suspect; empty for other requests.
    std::string suspect_;
};

} // namespace lycheereach
