/// \file
/// \brief What a ServingEvidence needs from its process.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"

#include <functional>
#include <string>

namespace lycheereach {

/// What a ServingEvidence needs from its process.
struct ServingEvidenceHooks
{
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    MonotonicClock now_;
};

} // namespace lycheereach
