/// \file
/// \brief Decides when to report that the loss of one zone would stop the control log.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <set>

namespace lycheereach {

struct VoterView;

/// The zones whose loss would leave fewer voters than a majority of all needs. Voters that are not
/// registered have no zone and count in none.
auto zonesHoldingQuorum(const VoterView &view) -> std::set<ZoneName>;

/// Decides when to report that the loss of one zone would stop the control log, and when that has
/// ended. A state that lasts no longer than the move of a vote is not reported. Not thread-safe.
class ZoneExposure
{
public:
    /// \a zones is the result of zonesHoldingQuorum() at \a now. Returns the zones to report: none
    /// when the exposure that was reported has ended. Returns nothing when there is no news.
    auto update(const std::set<ZoneName> &zones, MonotonicTime now)
        -> std::optional<std::set<ZoneName>>;

private:
    std::set<ZoneName> reported_;
    std::set<ZoneName> current_;
    MonotonicTime currentSince_;
};

} // namespace lycheereach
