/// \file
/// \brief Functions that a CrashLedger calls in its process.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"

#include <functional>
#include <string>

namespace lycheereach {

/// Functions that a CrashLedger calls in its process.
struct CrashLedgerHooks
{
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    EventSink event_;
    MonotonicClock now_;
    WallClock wallNow_;
};

} // namespace lycheereach
