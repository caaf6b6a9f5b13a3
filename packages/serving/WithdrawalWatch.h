/// \file
/// \brief Reports when no entry sends new requests to a withdrawn upstream any more.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

class ControlService;

/// Reports when no entry sends new requests to a withdrawn upstream any more: the log record that
/// withdrew it is in force, so every entry that may take new work has applied it. Thread-safe;
/// guarded by one lock of rank LockRank::Leaseholder.
class WithdrawalWatch
{
public:
    /// Called once, without holding a lock; tells whether the withdrawal is in force.
    using Done = std::function<void(bool inForce)>;

    WithdrawalWatch(ControlService &control, EventSink event, MonotonicClock now);

    /// Waits until the withdrawal of \a upstream is in force, and calls \a done then or after
    /// confirmationTimeout. Without an \a incarnation any withdrawn one counts. \a reason is the
    /// cause of the withdrawal, for events.
    auto notifyWhenInForce(const UpstreamId &upstream, std::optional<Incarnation> incarnation,
                           std::string reason, Done done) -> void;
    /// Call it several times within confirmationTimeout.
    auto tick() -> void;

private:
    struct PendingWithdrawal
    {
        UpstreamId upstream_;
        std::optional<Incarnation> incarnation_;
        std::string reason_;
        Done done_;
        MonotonicTime since_;
    };

    [[nodiscard]] auto isInForce(const PendingWithdrawal &withdrawal) const -> bool;
    auto finish(const PendingWithdrawal &withdrawal, bool inForce, MonotonicTime now) const -> void;

    ControlService &control_;
    EventSink event_;
    MonotonicClock now_;
    RankedMutex mutex_;
    std::vector<PendingWithdrawal> pendingWithdrawals_;
};

} // namespace lycheereach
