/// \file
/// \brief Decides which voters of the control log to add or remove.
#pragma once

#include "base/Ids.h"
#include "control/VoterChangeReason.h"

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
    /// Voters that have left the heartbeats of the log's leader unanswered.
    std::set<EntryId> silent_;
    /// Control instances without a vote that are registered as live, are in contact and have caught
    /// up with the log.
    std::set<EntryId> ready_;
    /// The wanted number of voters.
    std::size_t targetSize_ = 0;

    auto operator==(const VoterView &) const -> bool = default;
};

/// One change of the set of voters: one instance to add or one to remove.
struct VoterChange
{
    std::optional<EntryId> add_;
    std::optional<EntryId> remove_;
    VoterChangeReason reason_ = VoterChangeReason::TooFewVoters;

    auto operator==(const VoterChange &) const -> bool = default;
};

/// Returns the next single change towards the wanted voters, or nothing when none is needed or
/// possible. A voter with an empty disk is removed unless it is the only voter; a silent voter is
/// removed only when a ready instance can replace it; ready instances are added up to
/// VoterView::targetSize_. Removing a voter that can't vote takes no majority away: those that are
/// left need as many votes as before, or fewer.
auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>;

} // namespace lycheereach
