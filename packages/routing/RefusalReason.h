/// \file
/// \brief Why a permit was refused.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// Why a permit was refused.
enum class RefusalReason {
    /// The asked entry doesn't hold the lease; look at the state again.
    NotHeld,
    /// Not every member agrees and lives.
    NotServing,
    /// The group, a member or its zone gets no new work.
    Draining,
    /// All that the group can carry is in use.
    Full,
    /// Requests that the last leaseholder let start may still run.
    TakingOver,
};

template <>
struct EnumNames<RefusalReason>
{
    static constexpr auto names()
    {
        using Pair = std::pair<RefusalReason, const char *>;
        return std::array{Pair{RefusalReason::NotHeld, "not-held"},
                          Pair{RefusalReason::NotServing, "not-serving"},
                          Pair{RefusalReason::Draining, "draining"},
                          Pair{RefusalReason::Full, "full"},
                          Pair{RefusalReason::TakingOver, "taking-over"}};
    }
};

} // namespace lycheereach
