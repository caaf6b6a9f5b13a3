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
};

template <>
struct EnumNames<MemberPhase>
{
    static constexpr auto names()
    {
        using Pair = std::pair<MemberPhase, const char *>;
        return std::array{Pair{MemberPhase::Idle, "idle"}, Pair{MemberPhase::Loading, "loading"},
                          Pair{MemberPhase::Ready, "ready"}};
    }
};

} // namespace lycheereach
