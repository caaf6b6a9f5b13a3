/// \file
/// \brief Decides which voters of the control log to replace.
#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <optional>
#include <set>

namespace lycheereach {

/// What the leader knows of the voters and of those that could be voters.
struct VoterView
{
    std::set<EntryId> voters_;
    /// Voters that came back with an empty disk, so that their votes no longer count.
    std::set<EntryId> wiped_;
    /// Control instances that renew their leases.
    std::set<EntryId> live_;
    /// Voters that are taken for dead.
    std::set<EntryId> lost_;
    /// How many voters there should be.
    std::size_t target_ = 0;

    auto operator==(const VoterView &) const -> bool = default;
};

/// One change of the voters.
struct VoterChange
{
    std::optional<EntryId> add_;
    std::optional<EntryId> remove_;

    auto operator==(const VoterChange &) const -> bool = default;
};

/// The next change, one at a time: a voter with an empty disk is removed, a lost one when another
/// instance can take its place, and live instances are added up to the target. Nothing when all is
/// well.
auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>;

} // namespace lycheereach
