/// \file
/// \brief Settings, services and callbacks shared by the forwarded requests of one entry.
#pragma once

#include "base/Event.h"
#include "base/Time.h"
#include "forward/DeclarationAge.h"
#include "forward/ForwardCodec.h"
#include "forward/ForwardSettings.h"

#include <functional>

namespace lycheereach {

class CrashWatch;
class HttpClient;
class TargetTable;
class WorkerPool;

/// Settings, services and callbacks shared by the forwarded requests of one entry; outlives them.
struct ForwardContext
{
    ForwardSettings settings_;
    ForwardCodec codec_;
    TargetTable &targets_;
    CrashWatch &crashes_;
    HttpClient &client_;
    WorkerPool &workers_;
    /// Whether the entry is shutting down; responses then carry `Connection: close`.
    std::function<bool()> isLeaving_;
    /// The version of the declaration that the entry obeys, and how long it has.
    std::function<DeclarationAge()> declarationAge_;
    /// Takes one retry to a service from the retry budget; false when it is spent.
    std::function<bool(const PoolName &service)> tryTakeRetry_;
    /// Called with the first member of a group that may be stalled.
    std::function<void(const UpstreamId &)> onGroupSuspected_;
    /// Called when an upstream makes progress that notifyOnNextProgress() asked for.
    std::function<void(const UpstreamId &)> onProgress_;
    /// Records an event in the event log of the process.
    EventSink eventSink_;
    MonotonicClock clock_;
};

} // namespace lycheereach
