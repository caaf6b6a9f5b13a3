/// \file
/// \brief Message: a command for the leader to propose.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Message `control.propose`: a command for the leader to append to the log. Commands are
/// idempotent, so the message may be sent again.
struct Proposal
{
    /// Chosen by the sender; the answer repeats it.
    std::uint64_t number_ = 0;
    /// The encoded command.
    std::string command_;

    auto operator==(const Proposal &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &Proposal::number_),
                          field("command", &Proposal::command_)};
    }
};

} // namespace lycheereach
