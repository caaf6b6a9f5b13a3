/// \file
/// \brief Command: changes nothing; its commit shows that everything before it is applied.
#pragma once

#include "base/JsonCodec.h"

#include <tuple>

namespace lycheereach {

/// Command: changes nothing; its commit shows that everything before it is applied, so that a read
/// behind it is not stale.
struct ConfirmState
{
    auto operator==(const ConfirmState &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{}; }
};

} // namespace lycheereach
