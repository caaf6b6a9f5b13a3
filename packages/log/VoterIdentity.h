/// \file
/// \brief Who a voter is.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// A replica together with its data folder. The generation is drawn at random when an empty folder
/// is first opened and is kept in the file `identity` there, so a replica that lost its disk comes
/// back under another identity. Voter sets name identities: the votes and acknowledgements of a
/// replica count only while both its name and its generation are in the voter set.
///
/// A fresh cluster founds itself. Blank replicas of `initialVoters_` exchange greetings, and the
/// one with the first name founds the cluster once every one of them has greeted it as blank,
/// echoing its generation. The founding record at index 1 holds all identities and a random cluster
/// id; a replica of a cluster drops the messages of every other cluster. A replica whose disk was
/// lost meets peers that are no longer blank, so it cannot found anything. The leader appends to it
/// as to a learner; to vote again it is removed from the voters and then added.
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
