/// \file
/// \brief Command: callers have begun to send requests.
#pragma once

#include "base/JsonCodec.h"

#include <tuple>

namespace lycheereach {

/// Command: callers have begun to send requests; from now on loads of weights are held to the rate
/// of the weight store.
struct NoteTraffic
{
    auto operator==(const NoteTraffic &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{}; }
};

} // namespace lycheereach
