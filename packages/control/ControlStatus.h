/// \file
/// \brief State of the control log as reported to operators.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>
#include <vector>

namespace lycheereach {

/// State of the control log as seen by one entry.
struct ControlStatus
{
    EntryId entry_;
    /// The role in the log (`leader`, `follower`, `candidate` or `learner`); `entry` without a log.
    std::string role_;
    /// Empty while no leader is known.
    EntryId leader_;
    /// 0 on an entry without a log.
    Term term_ = 0;
    /// The last record that this entry has applied.
    LogIndex applied_ = 0;
    /// The last record that every lease holder has applied, as far as this entry knows.
    LogIndex inForceIndex_ = 0;
    /// Empty on an entry without a log.
    std::vector<EntryId> voters_;
    /// Whether a write or sync of the log has failed in this run of the process.
    bool diskFailed_ = false;
    /// Whether this entry holds a valid lease and has applied what the lease requires.
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
