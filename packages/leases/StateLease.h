/// \file
/// \brief The lease under which an entry may take new work with the state that it has applied.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lycheereach {

/// Identifies one renewal of a lease.
using RenewalNumber = std::uint64_t;

/// The holder's side of a state lease. The lease starts when the renewal was sent, so it never
/// expires later here than at the grantor. Not thread-safe.
class StateLease
{
public:
    /// Renewals are numbered from \a lastNumber + 1. Each run of a process passes another value, so
    /// that it ignores answers meant for an earlier run.
    explicit StateLease(RenewalNumber lastNumber = 0);

    /// Records that a renewal is sent at \a now and returns its number.
    auto startRenewal(MonotonicTime now) -> RenewalNumber;
    /// Handles the answer to a renewal: a lease of \a duration from when the renewal was sent, for
    /// a holder that has applied at least \a requiredIndex. Ignores an unknown or repeated number.
    auto renewalGranted(RenewalNumber number, Duration duration, LogIndex requiredIndex) -> void;
    /// Gives the lease up, as before a planned stop.
    auto release() -> void;

    /// Whether a holder that has applied the log up to \a applied may start new work.
    [[nodiscard]] auto allowsWork(LogIndex applied, MonotonicTime now) const -> bool;
    /// Time until the lease expires; zero when it has.
    [[nodiscard]] auto remaining(MonotonicTime now) const -> Duration;
    [[nodiscard]] auto requiredIndex() const -> LogIndex { return requiredIndex_; }

private:
    /// When each unanswered renewal was sent.
    std::map<RenewalNumber, MonotonicTime> renewals_;
    RenewalNumber lastNumber_ = 0;
    /// When the lease expires; empty when none is held.
    std::optional<MonotonicTime> expiresAt_;
    LogIndex requiredIndex_ = 0;
};

} // namespace lycheereach
