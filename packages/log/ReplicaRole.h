/// \file
/// \brief The part of a replica in its cluster.
#pragma once

namespace lycheereach {

enum class ReplicaRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// Gets records but is not in the voter set.
    Learner,
};

} // namespace lycheereach
