/// \file
/// \brief Chooses the entries that hold leases and receive announcements, by rendezvous hashing.
#pragma once

#include "state/FleetState.h"

#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// The entries of \a live in order of preference for \a key: those in \a zone, those in other
/// zones, and last those in zones taken out; within each part by rendezvous hash.
auto rankEntries(const FleetState &state, const std::set<EntryId> &live, const std::string &key,
                 const ZoneName &zone) -> std::vector<EntryId>;

/// The entries of \a live to which \a upstream in \a zone sends its announcements, best first: the
/// leaseholder of its group, then the others as rankEntries() orders them.
auto announcementTargets(const FleetState &state, const std::set<EntryId> &live,
                         const UpstreamId &upstream, const ZoneName &zone) -> std::vector<EntryId>;

} // namespace lycheereach
