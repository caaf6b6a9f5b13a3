#include "control/ZoneExposure.h"

#include "control/VoterReconciliation.h"

#include <chrono>

namespace lycheereach {

namespace {

/// A move of a vote between live instances takes less than this.
constexpr auto reportDelay = std::chrono::seconds(5);

} // namespace

auto zonesHoldingQuorum(const VoterView &view) -> std::set<ZoneName>
{
    auto votes = std::map<ZoneName, std::size_t>{};
    for (const auto &voter : view.voters_) {
        if (const auto zone = view.zones_.find(voter); zone != view.zones_.end())
            ++votes[zone->second];
    }
    const auto majority = view.voters_.size() / 2 + 1;
    auto zones = std::set<ZoneName>{};
    for (const auto &[zone, count] : votes) {
        if (view.voters_.size() - count < majority)
            zones.insert(zone);
    }
    return zones;
}

auto ZoneExposure::update(const std::set<ZoneName> &zones, MonotonicTime now)
    -> std::optional<std::set<ZoneName>>
{
    if (zones != current_) {
        current_ = zones;
        currentSince_ = now;
    }
    if (current_ == reported_ || now - currentSince_ < reportDelay)
        return std::nullopt;
    reported_ = current_;
    return reported_;
}

} // namespace lycheereach
