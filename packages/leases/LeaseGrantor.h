/// \file
/// \brief Grants state leases and knows from which change on every holder follows the state.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// The grantor's side of state leases: on the control leader for the relays, on a relay for the
/// entries that renew with it. A holder counts until its lease has run out, by this process's
/// monotonic clock and with a margin for clocks that run at different rates. Not thread-safe.
class LeaseGrantor
{
public:
    explicit LeaseGrantor(Duration leaseDuration);

    /// Takes over from a grantor whose leases are unknown: each holder may have one until a whole
    /// lease from now, under a state of any age.
    auto takeOver(const std::vector<EntryId> &holders, MonotonicTime now) -> void;
    /// Takes over from a grantor whose holders are unknown too: nothing is confirmed until a whole
    /// lease from now.
    auto takeOverUnknown(MonotonicTime now) -> void;
    /// Grants a lease to a holder that has applied \a applied, no longer than \a limit; returns
    /// how long it lasts from the sending of the renewal.
    auto grant(const EntryId &holder, LogIndex applied, Duration limit, MonotonicTime now)
        -> Duration;
    /// The holder has given up its lease.
    auto release(const EntryId &holder) -> void;

    /// The index that every holder with a lease has applied; \a own when there is none, and 0
    /// while there may be unknown holders.
    [[nodiscard]] auto confirmedIndex(LogIndex own, MonotonicTime now) const -> LogIndex;
    /// Holders with a lease that have not applied \a index.
    [[nodiscard]] auto waitingFor(LogIndex index, MonotonicTime now) const -> std::vector<EntryId>;
    /// Holders with a lease.
    [[nodiscard]] auto holders(MonotonicTime now) const -> std::vector<EntryId>;

private:
    struct Held
    {
        MonotonicTime end_;
        LogIndex applied_ = 0;
    };

    Duration leaseDuration_;
    std::map<EntryId, Held> held_;
    /// Until then there may be leases of holders that are not in held_.
    std::optional<MonotonicTime> unknownUntil_;
};

} // namespace lycheereach
