/// \file
/// \brief Decides which voters of the control log to add or remove.
#pragma once

#include "base/Ids.h"
#include "control/VoterChangeReason.h"

#include <cstddef>
#include <map>
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
    /// The availability zone of each registered voter and ready instance. An instance that is not
    /// registered counts as one in a zone of its own.
    std::map<EntryId, ZoneName> zones_;
    /// The leader, which keeps its vote.
    EntryId leader_;
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

/// Returns the next single change towards VoterView::targetSize_ voters that answer and stand
/// spread over the zones as evenly as the ready instances allow, or nothing when none is needed or
/// possible:
///
/// 1. A voter with an empty disk is removed unless it is the only voter.
/// 2. Of too many voters, a silent one is removed first, else one of the zone with the most.
/// 3. Of too few voters, a ready instance of the zone with the fewest is added.
/// 4. A silent voter is removed when a ready instance can replace it.
/// 5. A ready instance is added when it can replace a voter of a zone that has at least two more;
///    rule 2 then removes that voter.
///
/// Removing a voter that can't vote takes no majority away: those that are left need as many votes
/// as before, or fewer. A voter that can vote is removed only after its successor was added, since
/// the set in between then bears the same losses: among an odd number of voters it needs one vote
/// more and has one more. Each move by rule 5 makes the spread strictly more even, so that
/// moves end.
auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>;

} // namespace lycheereach
