/// \file
/// \brief Runs the group planner on the control leader.
#pragma once

#include "base/RankedMutex.h"
#include "groups/GroupPlanner.h"
#include "serving/PlannerServiceHooks.h"

#include <memory>

namespace lycheereach {

class ControlService;

/// Runs the group planner on the control leader: proposes its commands and sends its orders.
/// Thread-safe.
class PlannerService : public std::enable_shared_from_this<PlannerService>
{
public:
    PlannerService(ControlService &control, PlannerServiceHooks hooks);

    /// Plans once, unless commands of the last plan are still under way.
    auto tick() -> void;

private:
    auto plan() -> std::vector<PlannerAction>;
    auto perform(const Command &command) -> void;
    auto perform(const MemberOrder &order) -> void;
    auto commandEnded() -> void;
    auto orderEnded(const MemberOrder &order, bool accepted) -> void;

    ControlService &control_;
    PlannerServiceHooks hooks_;
    RankedMutex mutex_;
    GroupPlanner planner_;
    std::size_t commandsUnderWay_ = 0;
    bool leading_ = false;
};

} // namespace lycheereach
