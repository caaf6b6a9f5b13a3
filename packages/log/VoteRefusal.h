/// \file
/// \brief Why a replica does not grant a vote.
#pragma once

namespace lycheereach {

enum class VoteRefusal {
    /// The replica belongs to no cluster yet.
    NoCluster,
    /// It heard from a leader, or was opened, less than an election timeout ago.
    LeaderHeard,
    /// The candidate's log lacks records that its own log holds.
    OlderLog,
    /// The candidate's term is not newer than its own.
    OlderTerm,
    /// It voted for another candidate in this term.
    VotedForAnother,
};

} // namespace lycheereach
