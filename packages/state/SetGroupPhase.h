/// \file
/// \brief Command: a group moves on; another epoch voids it.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/GroupPhase.h"

namespace lycheereach {

/// Command: a group moves on; another epoch voids it.
struct SetGroupPhase
{
    GroupId id_;
    Epoch epoch_ = 0;
    GroupPhase phase_ = GroupPhase::Forming;

    auto operator==(const SetGroupPhase &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &SetGroupPhase::id_), field("epoch", &SetGroupPhase::epoch_),
                          field("phase", &SetGroupPhase::phase_)};
    }
};

} // namespace lycheereach
