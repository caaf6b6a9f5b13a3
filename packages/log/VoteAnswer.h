/// \file
/// \brief What a candidate got from a voter.
#pragma once

namespace lycheereach {

enum class VoteAnswer {
    Granted,
    Refused,
    /// A vote under a generation that the voter set does not hold: the voter has lost its disk.
    NotCounted,
};

} // namespace lycheereach
