/// \file
/// \brief Which entry watches what, by rendezvous hashing.
#pragma once

#include "state/FleetState.h"

#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// The live entries in the order of preference for \a key: those in \a zone first, each part by
/// rendezvous hash. Entries of zones taken out come last.
auto rankEntries(const FleetState &state, const std::set<EntryId> &live, const std::string &key,
                 const ZoneName &zone) -> std::vector<EntryId>;

/// Where \a upstream, which is in \a zone, announces itself, best first: the leaseholder of its
/// group, then the entries by rendezvous hash.
auto announceTo(const FleetState &state, const std::set<EntryId> &live, const UpstreamId &upstream,
                const ZoneName &zone) -> std::vector<EntryId>;

} // namespace lycheereach
