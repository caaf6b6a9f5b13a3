/// \file
/// \brief The right of an entry to take new work under the state that it knows.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lycheereach {

/// Names one renewal of a lease.
using RenewalNumber = std::uint64_t;

/// The holder's side of a state lease. The lease runs from the moment at which the renewal was
/// sent, so it never outlasts what the grantor counts. Not thread-safe.
class StateLease
{
public:
    /// \a lastNumber differs between runs of a process, so that an answer to an earlier run is
    /// not taken for one to this run.
    explicit StateLease(RenewalNumber lastNumber = 0);

    /// A renewal goes out now.
    auto renewalSent(MonotonicTime now) -> RenewalNumber;
    /// The answer to a renewal: a lease of \a duration from its sending, for a holder that has
    /// applied at least \a requiredIndex. An unknown or repeated number changes nothing.
    auto granted(RenewalNumber number, Duration duration, LogIndex requiredIndex) -> void;
    /// Gives the lease up, as at a planned stop.
    auto surrender() -> void;

    /// Whether new work may start, by a holder that has applied \a applied.
    [[nodiscard]] auto allowsWork(LogIndex applied, MonotonicTime now) const -> bool;
    /// What is left of the lease; zero when it has run out.
    [[nodiscard]] auto remaining(MonotonicTime now) const -> Duration;
    [[nodiscard]] auto requiredIndex() const -> LogIndex { return requiredIndex_; }

private:
    std::map<RenewalNumber, MonotonicTime> sent_;
    RenewalNumber lastNumber_ = 0;
    std::optional<MonotonicTime> end_;
    LogIndex requiredIndex_ = 0;
};

} // namespace lycheereach
