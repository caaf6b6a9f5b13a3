/// \file
/// \brief Functions that a LeaseholderService calls in its process.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"

#include <functional>
#include <string>

namespace lycheereach {

struct LoadReport;

/// Functions that a LeaseholderService calls in its process.
struct LeaseholderHooks
{
    /// Sends a message to an entry.
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    /// Whether a request suspected of crashing upstreams may start at a group; it then counts as
    /// running there until suspectEnded_ is called.
    std::function<bool(const GroupId &, const std::string &fingerprint)> admitSuspect_;
    std::function<void(const GroupId &, const std::string &fingerprint)> suspectEnded_;
    /// Reports the loads of the groups held here to this process.
    std::function<void(const LoadReport &)> reportLoads_;
    /// Whether an upstream that has not announced itself for three quarters of its silence timeout
    /// is known to serve nevertheless, and so is not lost. May be empty: no upstream is then.
    std::function<bool(const UpstreamId &)> servesWhileSilent_;
    /// Whether this process now also watches the upstreams whose own watcher is lost. May be empty:
    /// the group planner does so then.
    std::function<bool()> watchesForLost_;
    EventSink event_;
    MonotonicClock now_;
};

} // namespace lycheereach
