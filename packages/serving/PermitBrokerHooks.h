/// \file
/// \brief Functions that a PermitBroker calls in its process.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"
#include "serving/PermitAnswer.h"
#include "serving/PermitNote.h"
#include "serving/PermitTake.h"

#include <functional>
#include <string>

namespace lycheereach {

/// Functions that a PermitBroker calls in its process.
struct PermitBrokerHooks
{
    /// Sends a message to an entry.
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    /// Passes a permit.take message to the LeaseholderService of this process.
    std::function<PermitAnswer(const PermitTake &)> takeLocal_;
    /// Passes a permit.note message to the LeaseholderService of this process.
    std::function<void(const PermitNote &)> noteLocal_;
    EventSink event_;
    MonotonicClock now_;
    RandomSource random_;
};

} // namespace lycheereach
