/// \file
/// \brief What a PermitBroker needs from its process.
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

/// What a PermitBroker needs from its process.
struct PermitBrokerHooks
{
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    /// Asks the leaseholder of this process.
    std::function<PermitAnswer(const PermitTake &)> takeHere_;
    std::function<void(const PermitNote &)> noteHere_;
    EventSink event_;
    MonotonicClock now_;
    RandomSource random_;
};

} // namespace lycheereach
