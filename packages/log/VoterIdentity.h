/// \file
/// \brief The identity of a voter.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// Identifies a replica together with its data folder. The generation is a random number that is
/// chosen when an empty folder is first opened and stored in the file `identity` there, so a
/// replica that lost its disk gets another identity. Voter sets hold identities: the votes and
/// acknowledgements of a replica count only while both its name and its generation are in the voter
/// set.
///
/// A new cluster bootstraps itself. Replicas of `initialVoters_` that belong to no cluster yet
/// exchange Greeting messages. The one with the lowest name creates the cluster, under a random
/// cluster id, once all the others have greeted it without a cluster of their own and echoed its
/// generation. The record at index 1 holds the identities of all voters. A replica drops messages
/// from every other cluster.
///
/// A replica that lost its disk cannot create a second cluster, because its peers already belong to
/// one. The leader sends records to it as to a learner; to vote again it must be removed from the
/// voters and then added.
struct VoterIdentity
{
    EntryId name_;
    std::uint64_t generation_ = 0;

    auto operator<=>(const VoterIdentity &) const = default;
    static constexpr auto fields()
    {
        return std::tuple{field("name", &VoterIdentity::name_),
                          field("generation", &VoterIdentity::generation_)};
    }
};

} // namespace lycheereach
