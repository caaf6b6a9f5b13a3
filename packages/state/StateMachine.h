/// \file
/// \brief Applies commands to the replicated state; the same on every replica.
#pragma once

#include "base/Event.h"
#include "state/Command.h"
#include "state/CommandOutcome.h"
#include "state/FleetState.h"

#include <string>

namespace lycheereach {

/// The replicated state machine. Deterministic: no clock, no randomness, no input or output but
/// the events it hands to \a sink. Not thread-safe.
class StateMachine
{
public:
    explicit StateMachine(EventSink sink);

    /// Applies the command at \a index; indexes rise, and one at or below the last is ignored.
    auto apply(LogIndex index, const Command &command) -> CommandOutcome;

    /// The record at \a index is no command.
    auto advance(LogIndex index) -> void;

    [[nodiscard]] auto state() const -> const FleetState & { return state_; }
    /// The whole state as packed JSON text.
    [[nodiscard]] auto snapshot() const -> std::string;
    /// Takes over a snapshot; one older than the present state is refused with Error::Conflict.
    auto restore(const std::string &snapshot) -> Result<Nothing>;

private:
    EventSink sink_;
    FleetState state_;
};

} // namespace lycheereach
