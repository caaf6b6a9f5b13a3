#include "log/VoterSet.h"

#include <algorithm>

namespace lycheereach {

auto VoterSet::contains(const VoterIdentity &voter) const -> bool
{
    return voters_.contains(voter);
}

auto VoterSet::containsName(const EntryId &name) const -> bool
{
    return std::any_of(voters_.begin(), voters_.end(),
                       [&](const auto &voter) { return voter.name_ == name; });
}

auto VoterSet::with(const VoterIdentity &voter) const -> VoterSet
{
    auto result = *this;
    result.voters_.insert(voter);
    return result;
}

auto VoterSet::without(const EntryId &name) const -> VoterSet
{
    auto result = *this;
    std::erase_if(result.voters_, [&](const auto &voter) { return voter.name_ == name; });
    return result;
}

auto toPayload(const VoterSet &voters) -> std::string
{
    return encode(voters).dump();
}

auto votersFromPayload(const std::string &payload) -> Result<VoterSet>
{
    return decodeText<VoterSet>(payload, "voters record");
}

} // namespace lycheereach
