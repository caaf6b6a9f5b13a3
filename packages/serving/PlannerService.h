/// \file
/// \brief Runs the group planner on the control leader.
#pragma once

#include "base/RankedMutex.h"
#include "serving/GroupPlannerHooks.h"
#include "serving/PlannerServiceHooks.h"

#include <memory>

namespace lycheereach {

class ControlService;

/// Runs the group planner on the control leader: proposes its commands and sends its orders.
/// Thread-safe.
class PlannerService : public std::enable_shared_from_this<PlannerService>
{
public:
    PlannerService(ControlService &control, GroupPlannerHooks plannerHooks,
                   PlannerServiceHooks hooks);

    /// Plans once, unless commands of the last plan are still pending.
    auto tick() -> void;

private:
    /// Whether the state has changed, an order has ended or idlePlanInterval has passed since the
    /// last plan.
    auto isDue() -> bool;
    auto plan(Term term) -> std::vector<PlannerAction>;
    /// Follows the replicated state while another process leads.
    auto observe() -> void;
    auto perform(Term term, const Command &command) -> void;
    auto perform(Term term, const EngineOrder &order) -> void;
    auto beginTerm(Term term) -> void;
    auto commandEnded(Term term) -> void;
    auto orderEnded(Term term, const EngineOrder &order, bool accepted) -> void;

    ControlService &control_;
    PlannerServiceHooks hooks_;
    RankedMutex mutex_;
    GroupPlannerHooks plannerHooks_;
    std::size_t pendingCommands_ = 0;
    /// The log index of the state that the last plan was made from, and when it was made.
    LogIndex plannedIndex_ = 0;
    MonotonicTime plannedAt_;
    /// The log index of the state last observed while another process led.
    LogIndex observedIndex_ = 0;
    /// Whether an order has ended since the last plan.
    bool orderHasEnded_ = false;
    /// The term of the last tick.
    Term term_ = 0;
};

} // namespace lycheereach
