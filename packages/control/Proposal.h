/// \file
/// \brief Message: a command for the leader to propose.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Message `control.propose`: a command for the leader to propose. Commands are idempotent, so it
/// may be sent again.
struct Proposal
{
    std::uint64_t number_ = 0;
    std::string command_;

    auto operator==(const Proposal &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &Proposal::number_),
                          field("command", &Proposal::command_)};
    }
};

} // namespace lycheereach
