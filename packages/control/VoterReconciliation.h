/// \file
/// \brief Decides which voters of the control log to add or remove.
#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <optional>
#include <set>

namespace lycheereach {

/// The leader's view of the voters and of the control instances that can become voters.
struct VoterView
{
    std::set<EntryId> voters_;
    /// Voters that restarted with an empty disk, so that their votes no longer count.
    std::set<EntryId> wiped_;
    /// Control instances that are registered as live.
    std::set<EntryId> live_;
    /// Control instances that are registered as lost; only voters among them matter.
    std::set<EntryId> lost_;
    /// The wanted number of voters.
    std::size_t targetSize_ = 0;

    auto operator==(const VoterView &) const -> bool = default;
};

/// One change of the set of voters: one instance to add or one to remove.
struct VoterChange
{
    std::optional<EntryId> add_;
    std::optional<EntryId> remove_;

    auto operator==(const VoterChange &) const -> bool = default;
};

/// Returns the next single change towards the wanted voters, or nothing when none is needed or
/// possible. A voter with an empty disk is removed unless it is the only voter; a lost voter is
/// removed only when a live instance can replace it; live instances are added up to
/// VoterView::targetSize_.
auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>;

} // namespace lycheereach
