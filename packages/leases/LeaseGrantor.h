/// \file
/// \brief Grants state leases and tracks the log index that every holder has applied.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// The grantor's side of state leases: the control leader grants them to relays, and a relay to the
/// entries that renew with it. A holder counts until its lease has expired by this process's
/// monotonic clock, with a margin for clocks that run at different rates. Not thread-safe.
class LeaseGrantor
{
public:
    explicit LeaseGrantor(Duration leaseDuration);

    /// Takes over from a grantor whose holders are known but not their leases: for a full lease
    /// duration from now each of \a holders may hold one, with any index applied.
    auto takeOverHolders(const std::vector<EntryId> &holders, MonotonicTime now) -> void;
    /// Takes over from a grantor whose holders are unknown too: no index is confirmed until a full
    /// lease duration from now.
    auto takeOverUnknownHolders(MonotonicTime now) -> void;
    /// Grants a lease of at most \a limit (on a relay the rest of its own lease) to a holder that
    /// has applied the log up to \a applied. Returns its duration, which starts when the holder
    /// sent the renewal.
    auto grant(const EntryId &holder, LogIndex applied, Duration limit, MonotonicTime now)
        -> Duration;
    /// Forgets the lease of a holder that has given it up.
    auto release(const EntryId &holder) -> void;

    /// The log index that this process, at \a own, and every holder of a lease have applied; 0
    /// while there may be unknown holders.
    [[nodiscard]] auto confirmedIndex(LogIndex own, MonotonicTime now) const -> LogIndex;
    /// Holders of an unexpired lease that have not applied \a index.
    [[nodiscard]] auto holdersBehind(LogIndex index, MonotonicTime now) const
        -> std::vector<EntryId>;
    /// Holders of an unexpired lease.
    [[nodiscard]] auto holders(MonotonicTime now) const -> std::vector<EntryId>;

private:
    struct HeldLease
    {
        MonotonicTime expiresAt_;
        LogIndex applied_ = 0;
    };

    Duration leaseDuration_;
    std::map<EntryId, HeldLease> leases_;
    /// Until this time there may be leases of holders that are not in leases_.
    std::optional<MonotonicTime> unknownHoldersUntil_;
};

} // namespace lycheereach
