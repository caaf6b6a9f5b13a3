/// \file
/// \brief Message: the answer to a Proposal.
#pragma once

#include "base/JsonCodec.h"
#include "state/CommandOutcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// Message `control.proposed`: the outcome of a Proposal, or why there is none yet.
struct ProposalAnswer
{
    /// The number of the Proposal.
    std::uint64_t number_ = 0;
    /// The outcome of the command once it is committed and applied, even if it was rejected;
    /// nothing when the receiver did not append it or the proposal failed (see message_).
    std::optional<CommandOutcome> outcome_;
    /// The command was not appended because the receiver is not the leader: the sender may try
    /// another process.
    bool notLeader_ = false;
    /// The error when there is no outcome and notLeader_ is false.
    std::string message_;

    auto operator==(const ProposalAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &ProposalAnswer::number_),
                          field("outcome", &ProposalAnswer::outcome_),
                          field("notLeader", &ProposalAnswer::notLeader_),
                          optionalField("message", &ProposalAnswer::message_)};
    }
};

} // namespace lycheereach
