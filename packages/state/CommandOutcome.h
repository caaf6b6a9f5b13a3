/// \file
/// \brief What a command of the replicated state machine did.
#pragma once

#include "base/JsonCodec.h"
#include "state/Claim.h"
#include "state/OperationOutcome.h"

#include <optional>
#include <string>

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

} // namespace lycheereach
