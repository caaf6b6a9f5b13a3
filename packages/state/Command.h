/// \file
/// \brief The commands of the replicated state machine.
#pragma once

#include "base/Result.h"
#include "state/ApplyDeclaration.h"
#include "state/BlockRequest.h"
#include "state/ClaimRequest.h"
#include "state/ConfirmState.h"
#include "state/DrainUpstream.h"
#include "state/EvacuateZone.h"
#include "state/ExpireClaims.h"
#include "state/FormGroup.h"
#include "state/LoseUpstream.h"
#include "state/NoteTraffic.h"
#include "state/PublishDeclaration.h"
#include "state/PutEntry.h"
#include "state/PutUpstream.h"
#include "state/RetireUpstream.h"
#include "state/SetEntryPhase.h"
#include "state/SetGroupPhase.h"
#include "state/SetLeaseholder.h"
#include "state/SettleClaim.h"
#include "state/SetZone.h"
#include "state/UnblockRequest.h"

#include <string>
#include <variant>

namespace lycheereach {

/// One record of the replicated log.
using Command
    = std::variant<ApplyDeclaration, SetZone, DrainUpstream, PutEntry, SetEntryPhase, PutUpstream,
                   LoseUpstream, FormGroup, SetGroupPhase, SetLeaseholder, ClaimRequest,
                   SettleClaim, ExpireClaims, BlockRequest, PublishDeclaration, EvacuateZone,
                   ConfirmState, NoteTraffic, RetireUpstream, UnblockRequest>;

/// \a command as JSON text for the log.
auto encodeCommand(const Command &command) -> std::string;
/// The inverse of encodeCommand(); fails with Error::InvalidJson.
auto decodeCommand(const std::string &text) -> Result<Command>;

} // namespace lycheereach
