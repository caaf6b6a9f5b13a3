/// \file
/// \brief Command: an entry leaves or is lost.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/EntryPhase.h"

namespace lycheereach {

/// Command: an entry leaves or is lost.
struct SetEntryPhase
{
    EntryId entry_;
    Incarnation incarnation_ = 0;
    EntryPhase phase_ = EntryPhase::Lost;

    auto operator==(const SetEntryPhase &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("entry", &SetEntryPhase::entry_),
                          field("incarnation", &SetEntryPhase::incarnation_),
                          field("phase", &SetEntryPhase::phase_)};
    }
};

} // namespace lycheereach
