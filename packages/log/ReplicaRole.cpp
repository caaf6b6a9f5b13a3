#include "log/ReplicaRole.h"

namespace lycheereach {

auto roleName(ReplicaRole role) -> std::string
{
    switch (role) {
    case ReplicaRole::Follower:
        return "follower";
    case ReplicaRole::PreCandidate:
    case ReplicaRole::Candidate:
        return "candidate";
    case ReplicaRole::Leader:
        return "leader";
    case ReplicaRole::Learner:
        return "learner";
    }
    return "";
}

} // namespace lycheereach
