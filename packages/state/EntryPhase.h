/// \file
/// \brief The life of an entry.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// The life of an entry.
enum class EntryPhase {
    /// Takes requests.
    Live,
    /// In a planned stop: finishes what runs.
    Leaving,
    /// Has not renewed its lease.
    Lost,
};

template <>
struct EnumNames<EntryPhase>
{
    static constexpr auto names()
    {
        using Pair = std::pair<EntryPhase, const char *>;
        return std::array{Pair{EntryPhase::Live, "live"}, Pair{EntryPhase::Leaving, "leaving"},
                          Pair{EntryPhase::Lost, "lost"}};
    }
};

} // namespace lycheereach
