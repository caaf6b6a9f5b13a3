/// \file
/// \brief What each command does to the state; used by StateMachine alone.
#pragma once

#include "base/Event.h"
#include "state/Command.h"
#include "state/CommandOutcome.h"
#include "state/FleetState.h"

namespace lycheereach {

/// What a handler works on.
struct CommandContext
{
    FleetState &state_;
    /// The place of the command in the log.
    LogIndex index_;
    const EventSink &sink_;
};

auto handle(CommandContext &context, const ApplyDeclaration &command) -> CommandOutcome;
auto handle(CommandContext &context, const SetZone &command) -> CommandOutcome;
auto handle(CommandContext &context, const DrainUpstream &command) -> CommandOutcome;
auto handle(CommandContext &context, const PutEntry &command) -> CommandOutcome;
auto handle(CommandContext &context, const SetEntryPhase &command) -> CommandOutcome;
auto handle(CommandContext &context, const PutUpstream &command) -> CommandOutcome;
auto handle(CommandContext &context, const LoseUpstream &command) -> CommandOutcome;
auto handle(CommandContext &context, const RetireUpstream &command) -> CommandOutcome;
auto handle(CommandContext &context, const FormGroup &command) -> CommandOutcome;
auto handle(CommandContext &context, const SetGroupPhase &command) -> CommandOutcome;
auto handle(CommandContext &context, const SetLeaseholder &command) -> CommandOutcome;
auto handle(CommandContext &context, const ClaimRequest &command) -> CommandOutcome;
auto handle(CommandContext &context, const SettleClaim &command) -> CommandOutcome;
auto handle(CommandContext &context, const ExpireClaims &command) -> CommandOutcome;
auto handle(CommandContext &context, const BlockRequest &command) -> CommandOutcome;
auto handle(CommandContext &context, const UnblockRequest &command) -> CommandOutcome;
auto handle(CommandContext &context, const PublishDeclaration &command) -> CommandOutcome;
auto handle(CommandContext &context, const EvacuateZone &command) -> CommandOutcome;
auto handle(CommandContext &context, const ConfirmState &command) -> CommandOutcome;
auto handle(CommandContext &context, const NoteTraffic &command) -> CommandOutcome;

/// Stops a serving group whose members no longer all agree.
auto demoteIfIncomplete(CommandContext &context, const UpstreamId &member) -> void;
/// Makes the open claims of an entry's earlier incarnations unknown.
auto abandonClaims(CommandContext &context, const EntryId &holder, Incarnation before) -> void;
/// An outcome without a further result.
auto accepted() -> CommandOutcome;
/// An outcome of a command that changed nothing.
auto refused(std::string why) -> CommandOutcome;

} // namespace lycheereach
