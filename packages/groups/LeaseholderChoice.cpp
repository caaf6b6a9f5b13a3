#include "groups/LeaseholderChoice.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace lycheereach {

namespace {

struct Candidate
{
    /// 0 in the preferred zone, 1 in another one, 2 in a zone that gets no new work.
    int zoneDistance_ = 0;
    std::uint64_t hash_ = 0;
    EntryId entry_;

    auto operator<(const Candidate &other) const -> bool
    {
        return std::tie(zoneDistance_, hash_, entry_)
            < std::tie(other.zoneDistance_, other.hash_, other.entry_);
    }
};

auto zoneDistance(const FleetState &state, const ZoneName &from, const ZoneName &to) -> int
{
    if (isZoneOut(state, to))
        return 2;
    return from == to ? 0 : 1;
}

} // namespace

auto rankEntries(const FleetState &state, const std::set<EntryId> &live, const std::string &key,
                 const ZoneName &zone) -> std::vector<EntryId>
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    auto candidates = std::vector<Candidate>{};
    for (const auto &[id, entry] : state.entries_) {
        if (entry.phase_ != EntryPhase::Live || !live.contains(id))
            continue;
        const auto hash = XXH3_64bits_withSeed(id.text().data(), id.text().size(), seed);
        candidates.push_back({zoneDistance(state, zone, entry.zone_), hash, id});
    }
    std::sort(candidates.begin(), candidates.end());
    auto ranked = std::vector<EntryId>{};
    for (const auto &candidate : candidates)
        ranked.push_back(candidate.entry_);
    return ranked;
}

auto announcementTargets(const FleetState &state, const std::set<EntryId> &live,
                         const UpstreamId &upstream, const ZoneName &zone) -> std::vector<EntryId>
{
    auto ranked = rankEntries(state, live, upstream.text(), zone);
    const auto membership = state.groupOf_.find(upstream);
    if (membership == state.groupOf_.end())
        return ranked;
    const auto &holder = state.groups_.at(membership->second).leaseholder_;
    const auto found = std::find(ranked.begin(), ranked.end(), holder);
    if (found != ranked.end())
        std::rotate(ranked.begin(), found, found + 1);
    return ranked;
}

} // namespace lycheereach
