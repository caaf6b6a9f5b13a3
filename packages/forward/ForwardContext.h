/// \file
/// \brief What the forwarded requests of one entry share.
#pragma once

#include "base/Event.h"
#include "base/Time.h"
#include "forward/ForwardDialect.h"
#include "forward/ForwardSettings.h"

#include <functional>

namespace lycheereach {

class HttpClient;
class TargetTable;
class WorkerPool;

/// What the forwarded requests of one entry share; outlives them.
struct ForwardContext
{
    ForwardSettings settings_;
    ForwardDialect dialect_;
    TargetTable &targets_;
    HttpClient &client_;
    WorkerPool &workers_;
    /// Whether the entry is leaving: connections of callers are closed behind their answers.
    std::function<bool()> isLeaving_;
    /// Takes one repeated send to a service from the budget that entries share.
    std::function<bool(const PoolName &service)> takeRetry_;
    /// Told of a group that stands still, by its first member.
    std::function<void(const UpstreamId &)> groupStalled_;
    /// Progress of an upstream that was asked for.
    std::function<void(const UpstreamId &)> hasProgressed_;
    EventSink event_;
    MonotonicClock now_;
};

} // namespace lycheereach
