/// \file
/// \brief How the control log stands, for operators.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>
#include <vector>

namespace lycheereach {

/// How the control log stands as one entry sees it.
struct ControlStatus
{
    EntryId entry_;
    std::string role_;
    EntryId leader_;
    Term term_ = 0;
    LogIndex applied_ = 0;
    LogIndex inForceIndex_ = 0;
    std::vector<EntryId> voters_;
    bool diskFailed_ = false;
    bool mayTakeWork_ = false;

    auto operator==(const ControlStatus &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("entry", &ControlStatus::entry_),
                          field("role", &ControlStatus::role_),
                          field("leader", &ControlStatus::leader_),
                          field("term", &ControlStatus::term_),
                          field("applied", &ControlStatus::applied_),
                          field("inForceIndex", &ControlStatus::inForceIndex_),
                          field("voters", &ControlStatus::voters_),
                          field("diskFailed", &ControlStatus::diskFailed_),
                          field("mayTakeWork", &ControlStatus::mayTakeWork_)};
    }
};

} // namespace lycheereach
