/// \file
/// \brief Message: what became of a Proposal.
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
    std::uint64_t number_ = 0;
    std::optional<CommandOutcome> outcome_;
    /// Whether the sender may try elsewhere: the command was not appended here.
    bool notLeader_ = false;
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
