/// \file
/// \brief How an operator's operation ended.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// How an operator's operation ended.
enum class OperationStatus {
    /// Committed.
    Accepted,
    /// Made from another version than the present one.
    Conflict,
    /// Not valid.
    Refused,
};

template <>
struct EnumNames<OperationStatus>
{
    static constexpr auto names()
    {
        using Pair = std::pair<OperationStatus, const char *>;
        return std::array{Pair{OperationStatus::Accepted, "accepted"},
                          Pair{OperationStatus::Conflict, "conflict"},
                          Pair{OperationStatus::Refused, "refused"}};
    }
};

} // namespace lycheereach
