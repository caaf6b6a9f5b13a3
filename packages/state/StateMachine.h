/// \file
/// \brief Applies commands to the replicated state; the same on every replica.
#pragma once

#include "base/Event.h"
#include "state/Command.h"
#include "state/FleetState.h"

#include <string>
#include <vector>

namespace lycheereach {

/// What a command did.
struct CommandOutcome
{
    /// Whether the command changed the state or had its effect already.
    bool accepted_ = false;
    std::string message_;
    /// Of an operator's operation.
    std::optional<OperationOutcome> operation_;
    /// Of ClaimRequest and SettleClaim: the claim as it stands.
    std::optional<Claim> claim_;
    /// Whether a ClaimRequest made the claim, so that its holder may dispatch.
    bool mayDispatch_ = false;

    auto operator==(const CommandOutcome &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("accepted", &CommandOutcome::accepted_),
                          field("message", &CommandOutcome::message_),
                          optionalField("operation", &CommandOutcome::operation_),
                          optionalField("claim", &CommandOutcome::claim_),
                          field("mayDispatch", &CommandOutcome::mayDispatch_)};
    }
};

/// The replicated state machine. Deterministic: no clock, no randomness, no input or output but
/// the events it hands to \a sink. Not thread-safe.
class StateMachine
{
public:
    explicit StateMachine(EventSink sink);

    /// Applies the command at \a index; indexes rise, and one at or below the last is ignored.
    auto apply(LogIndex index, const Command &command) -> CommandOutcome;

    [[nodiscard]] auto state() const -> const FleetState & { return state_; }
    /// The whole state as bytes.
    [[nodiscard]] auto snapshot() const -> std::string;
    /// Takes over a snapshot; one older than the present state is refused with Error::Conflict.
    auto restore(const std::string &snapshot) -> Result<Nothing>;

private:
    EventSink sink_;
    FleetState state_;
};

} // namespace lycheereach
