/// \file
/// \brief Tells when no entry gives an upstream new work any more.
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

/// Tells when no entry gives an upstream new work any more: the record that withdrew it is in
/// force, so that every entry that may take work has applied it. Thread-safe; guarded by one lock
/// of rank LockRank::Leaseholder.
class WithdrawalWatch
{
public:
    /// Told once, outside of every lock, whether the withdrawal is in force.
    using Done = std::function<void(bool inForce)>;

    WithdrawalWatch(ControlService &control, EventSink event, MonotonicClock now);

    /// Waits for the withdrawal of this \a incarnation of \a upstream, or of the one that is known,
    /// which was asked for because of \a reason; \a done hears within the patience of an upstream.
    auto await(const UpstreamId &upstream, std::optional<Incarnation> incarnation,
               std::string reason, Done done) -> void;
    /// To be called several times in the patience of an upstream.
    auto tick() -> void;

private:
    struct Awaited
    {
        UpstreamId upstream_;
        std::optional<Incarnation> incarnation_;
        std::string reason_;
        Done done_;
        MonotonicTime since_;
    };

    [[nodiscard]] auto isInForce(const Awaited &awaited) const -> bool;
    auto end(const Awaited &awaited, bool inForce, MonotonicTime now) const -> void;

    ControlService &control_;
    EventSink event_;
    MonotonicClock now_;
    RankedMutex mutex_;
    std::vector<Awaited> awaited_;
};

} // namespace lycheereach
