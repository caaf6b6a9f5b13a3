/// \file
/// \brief Why a permit was refused.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// Why a permit was refused.
enum class RefusalReason {
    /// The asked entry doesn't hold the group's lease; choose again by the current state.
    NotHeld,
    /// The group does not serve, a member is silent or not ready in the current epoch, or the asked
    /// entry holds no state lease.
    NotServing,
    /// The group, one of its members or its zone is being drained.
    Draining,
    /// As many permits as the limit of the group are in use.
    Full,
    /// A new leaseholder does not know yet how many requests the last one let start.
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
