/// \file
/// \brief What the requests of one entry share.
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

/// What the requests of one entry share; outlives them.
struct RequestContext
{
    EntryId self_;
    /// The incarnation that claims are made under.
    std::function<Incarnation()> incarnation_;
    ControlService &control_;
    ClaimSettler &settler_;
    PermitBroker &broker_;
    SuspicionService &suspicion_;
    HttpClient &client_;
    WorkerPool &workers_;
    Metrics &metrics_;
    /// Takes one retry from the retry budget.
    std::function<bool()> tryTakeRetry_;
    EventSink event_;
    MonotonicClock now_;
    WallClock wallNow_;
    RandomSource random_;
};

} // namespace lycheereach
