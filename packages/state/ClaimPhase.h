/// \file
/// \brief The life of a claim.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// The life of a claim.
enum class ClaimPhase {
    /// The holder may dispatch the request once.
    Claimed,
    /// The outcome is stored.
    Completed,
    /// May have run; is never dispatched again.
    Unknown,
    /// Known not to have run; the key may be claimed again.
    Released,
};

template <>
struct EnumNames<ClaimPhase>
{
    static constexpr auto names()
    {
        using Pair = std::pair<ClaimPhase, const char *>;
        return std::array{
            Pair{ClaimPhase::Claimed, "claimed"}, Pair{ClaimPhase::Completed, "completed"},
            Pair{ClaimPhase::Unknown, "unknown"}, Pair{ClaimPhase::Released, "released"}};
    }
};

} // namespace lycheereach
