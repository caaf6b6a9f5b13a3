/// \file
/// \brief Services and settings shared by all requests of one entry.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <functional>

namespace lycheereach {

class ClaimSettler;
class ControlService;
class HttpClient;
class Metrics;
class PermitBroker;
class SuspicionService;
class WorkerPool;

/// Services and settings shared by all requests of one entry; outlives them.
struct RequestContext
{
    EntryId self_;
    /// The current incarnation of this entry; claims carry it.
    std::function<Incarnation()> incarnation_;
    ControlService &control_;
    ClaimSettler &settler_;
    PermitBroker &broker_;
    SuspicionService &suspicion_;
    HttpClient &client_;
    WorkerPool &workers_;
    Metrics &metrics_;
    /// Takes one retry from the retry budget; false when it is exhausted. Set by RequestService.
    std::function<bool()> tryTakeRetry_;
    EventSink event_;
    MonotonicClock now_;
    WallClock wallNow_;
    RandomSource random_;
};

} // namespace lycheereach
