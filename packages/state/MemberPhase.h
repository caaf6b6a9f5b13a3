/// \file
/// \brief What an engine says of its part in a group.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// What an engine says of its part in a group.
enum class MemberPhase {
    /// In no group.
    Idle,
    /// Loads weights.
    Loading,
    /// Ready to serve with its group.
    Ready,
    /// Takes requests for its group; said by the first member of engines that keep the gate.
    Open,
    /// Finishes its requests and takes no new ones.
    Closing,
    /// Its group stood still for too long and takes no requests.
    Broken,
};

template <>
struct EnumNames<MemberPhase>
{
    static constexpr auto names()
    {
        using Pair = std::pair<MemberPhase, const char *>;
        return std::array{
            Pair{MemberPhase::Idle, "idle"},       Pair{MemberPhase::Loading, "loading"},
            Pair{MemberPhase::Ready, "ready"},     Pair{MemberPhase::Open, "open"},
            Pair{MemberPhase::Closing, "closing"}, Pair{MemberPhase::Broken, "broken"}};
    }
};

} // namespace lycheereach
