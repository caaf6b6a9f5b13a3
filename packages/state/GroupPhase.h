/// \file
/// \brief The life of a serving group.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// The life of a serving group.
enum class GroupPhase {
    /// Members are chosen and get their orders.
    Forming,
    /// Members load weights.
    Loading,
    /// Every member agrees; requests may start.
    Serving,
    /// Requests in progress finish.
    Draining,
    /// Over; its members are free.
    Dissolved,
};

template <>
struct EnumNames<GroupPhase>
{
    static constexpr auto names()
    {
        using Pair = std::pair<GroupPhase, const char *>;
        return std::array{
            Pair{GroupPhase::Forming, "forming"}, Pair{GroupPhase::Loading, "loading"},
            Pair{GroupPhase::Serving, "serving"}, Pair{GroupPhase::Draining, "draining"},
            Pair{GroupPhase::Dissolved, "dissolved"}};
    }
};

} // namespace lycheereach
