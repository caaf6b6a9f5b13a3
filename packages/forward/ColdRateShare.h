/// \file
/// \brief Divides the rate limit of a cold upstream among the entries.
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <vector>

namespace lycheereach {

/// The requests per second that \a self, one of \a entries, may send to a cold \a upstream, which
/// can serve \a perSecond from all entries together. Among entries that know the same \a entries
/// the shares add up to at most \a perSecond. With more entries than requests per second some
/// entries get 0; which ones depends on the upstream.
auto coldRateShare(double perSecond, const UpstreamId &upstream,
                   const std::vector<EntryId> &entries, const EntryId &self) -> std::uint32_t;

} // namespace lycheereach
