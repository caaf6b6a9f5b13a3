/// \file
/// \brief The Raft role of a replica.
#pragma once

#include <string>

namespace lycheereach {

enum class ReplicaRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// Receives records but is not in the voter set.
    Learner,
};

/// The name in events and in the status; a pre-candidate is a candidate there.
auto roleName(ReplicaRole role) -> std::string;

} // namespace lycheereach
