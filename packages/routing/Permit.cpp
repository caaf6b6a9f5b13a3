#include "routing/Permit.h"

#include "state/FleetState.h"

namespace lycheereach {

auto isStillValid(const FleetState &state, const Permit &permit) -> bool
{
    const auto group = state.groups_.find(permit.group_);
    if (group == state.groups_.end() || group->second.leaseholder_.empty())
        return false;
    return group->second.epoch_ == permit.epoch_
        && group->second.leaseNumber_ == permit.leaseNumber_;
}

} // namespace lycheereach
