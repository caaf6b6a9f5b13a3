/// \file
/// \brief A mutex that holds every thread to the stated lock order.
#pragma once

#include <mutex>

namespace lycheereach {

/// The lock order: a thread takes locks in rising rank only.
enum class LockRank {
    /// The planner of the control leader.
    Planner = 5,
    /// The replicated log, the state machine and the state leases.
    Control = 10,
    /// Watched upstreams and the permits of the groups held here.
    Leaseholder = 20,
    /// Groups to choose from and permits held by this entry.
    Routing = 30,
    /// Requests, queues, budgets and suspicion.
    Requests = 40,
    /// The targets of forwarded requests and their load.
    Targets = 45,
    /// Connections to peers.
    Transport = 50,
};

/// A mutex with a rank; taking it while holding one of the same or a higher rank aborts.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);

    auto lock() -> void;
    auto unlock() -> void;

private:
    std::mutex mutex_;
    int rank_;
    int outerRank_ = 0;
};

} // namespace lycheereach
