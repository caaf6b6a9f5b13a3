/// \file
/// \brief What an order asks of an engine.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// What an order asks of an engine.
enum class OrderKind {
    /// Become a member of a group and load its weights.
    Join,
    /// Stop being a member of a group; the weights stay loaded.
    Leave,
    /// Load weights without joining a group.
    Load,
    /// Accept requests for the group; sent to the first member of a group whose engines open and
    /// close its gate themselves (EngineGatedPlanner).
    Open,
    /// Accept no new requests and finish those in progress; sent to the same member.
    Close,
};

template <>
struct EnumNames<OrderKind>
{
    static constexpr auto names()
    {
        using Pair = std::pair<OrderKind, const char *>;
        return std::array{Pair{OrderKind::Join, "join"}, Pair{OrderKind::Leave, "leave"},
                          Pair{OrderKind::Load, "load"}, Pair{OrderKind::Open, "open"},
                          Pair{OrderKind::Close, "close"}};
    }
};

} // namespace lycheereach
