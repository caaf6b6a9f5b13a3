/// \file
/// \brief How a request that had a permit ended.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// How a request that had a permit ended.
enum class PermitOutcome {
    Completed,
    /// Ended early, and the upstream is known to have stopped it.
    Failed,
    /// The request was never sent.
    NotStarted,
    /// The upstream refused the request as overloaded.
    Overloaded,
    /// The upstream may still run it; the number of running requests that it announces decides.
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
