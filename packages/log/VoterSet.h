/// \file
/// \brief The replicas that elect leaders and commit records.
#pragma once

#include "log/VoterIdentity.h"

#include <cstddef>
#include <set>
#include <string>

namespace lycheereach {

/// A set of voters.
struct VoterSet
{
    std::set<VoterIdentity> voters_;

    /// The size of a majority.
    [[nodiscard]] auto quorum() const -> std::size_t { return voters_.size() / 2 + 1; }
    [[nodiscard]] auto contains(const VoterIdentity &voter) const -> bool;
    [[nodiscard]] auto containsName(const EntryId &name) const -> bool;
    /// The set with \a voter added.
    [[nodiscard]] auto with(const VoterIdentity &voter) const -> VoterSet;
    /// The set without the voter called \a name.
    [[nodiscard]] auto without(const EntryId &name) const -> VoterSet;

    auto operator==(const VoterSet &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{field("voters", &VoterSet::voters_)}; }
};

/// The payload of a record of kind Voters.
auto toPayload(const VoterSet &voters) -> std::string;
/// The inverse of toPayload().
auto votersFromPayload(const std::string &payload) -> Result<VoterSet>;

} // namespace lycheereach
