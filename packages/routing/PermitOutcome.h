/// \file
/// \brief How the request of a permit ended.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// How the request of a permit ended.
enum class PermitOutcome {
    Completed,
    /// Ended early, and the upstream is known to have stopped it.
    Failed,
    /// Never started.
    NotStarted,
    /// The upstream answered that it can't take more.
    Overloaded,
    /// Whether the upstream still runs it is not known; its reports decide.
    Unknown,
};

template <>
struct EnumNames<PermitOutcome>
{
    static constexpr auto names()
    {
        using Pair = std::pair<PermitOutcome, const char *>;
        return std::array{
            Pair{PermitOutcome::Completed, "completed"}, Pair{PermitOutcome::Failed, "failed"},
            Pair{PermitOutcome::NotStarted, "not-started"},
            Pair{PermitOutcome::Overloaded, "overloaded"}, Pair{PermitOutcome::Unknown, "unknown"}};
    }
};

} // namespace lycheereach
