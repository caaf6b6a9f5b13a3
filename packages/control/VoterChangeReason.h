/// \file
/// \brief Why the leader of the control log adds or removes a voter.
#pragma once

#include <string>

namespace lycheereach {

/// Why the leader adds or removes a voter.
enum class VoterChangeReason {
    /// The voter restarted with an empty disk.
    EmptyDisk,
    /// The voter leaves heartbeats unanswered and a ready instance can replace it.
    Silent,
    /// There are fewer voters than wanted.
    TooFewVoters,
    /// There are more voters than wanted.
    TooManyVoters,
    /// Another zone has at least two voters more.
    UnevenZones,
};

/// The reason as events print it.
auto reasonText(VoterChangeReason reason) -> std::string;

} // namespace lycheereach
