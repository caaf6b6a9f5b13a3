/// \file
/// \brief Divides what a cold upstream carries among the entries.
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <vector>

namespace lycheereach {

/// The requests a second that \a self, one of \a entries, may send to a cold \a upstream that
/// carries \a perSecond from all of them together. The shares of all entries that know the same
/// entries add up to no more than that: with more entries than requests some get none, others for
/// other upstreams.
auto coldRateShare(double perSecond, const UpstreamId &upstream,
                   const std::vector<EntryId> &entries, const EntryId &self) -> std::uint32_t;

} // namespace lycheereach
