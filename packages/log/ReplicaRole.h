/// \file
/// \brief The Raft role of a replica.
#pragma once

namespace lycheereach {

enum class ReplicaRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// Receives records but is not in the voter set.
    Learner,
};

} // namespace lycheereach
