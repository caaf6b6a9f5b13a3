/// \file
/// \brief A step that a group planner returns.
#pragma once

#include "groups/EngineOrder.h"
#include "state/Command.h"

#include <variant>

namespace lycheereach {

/// A command to propose to the replicated log, or an order to send to an engine.
using PlannerAction = std::variant<Command, EngineOrder>;

} // namespace lycheereach
