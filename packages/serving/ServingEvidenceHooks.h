/// \file
/// \brief Functions that a ServingEvidence calls in its process.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"

#include <functional>
#include <string>

namespace lycheereach {

/// Functions that a ServingEvidence calls in its process.
struct ServingEvidenceHooks
{
    /// Sends a message to an entry.
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    MonotonicClock now_;
};

} // namespace lycheereach
