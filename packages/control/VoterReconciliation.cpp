#include "control/VoterReconciliation.h"

#include <algorithm>
#include <limits>

namespace lycheereach {

namespace {

using Voters = std::set<EntryId>;

auto with(Voters voters, const EntryId &added) -> Voters
{
    voters.insert(added);
    return voters;
}

auto without(Voters voters, const EntryId &removed) -> Voters
{
    voters.erase(removed);
    return voters;
}

/// The sum of the squared numbers of voters in each zone: among sets of one size the less, the more
/// evenly they are spread.
auto unevenness(const VoterView &view, const Voters &voters) -> std::size_t
{
    auto sum = std::size_t{0};
    auto counts = std::map<ZoneName, std::size_t>{};
    for (const auto &id : voters) {
        const auto zone = view.zones_.find(id);
        if (zone == view.zones_.end())
            ++sum;
        else
            ++counts[zone->second];
    }
    for (const auto &[zone, count] : counts)
        sum += count * count;
    return sum;
}

/// An instance and the unevenness of the voters after the change that is tried with it.
struct Choice
{
    std::optional<EntryId> id_;
    std::size_t unevenness_ = std::numeric_limits<std::size_t>::max();
};

/// The instance of \a candidates for which \a unevennessWith is least.
template <typename UnevennessWith>
auto choose(const std::set<EntryId> &candidates, UnevennessWith unevennessWith) -> Choice
{
    auto best = Choice{};
    for (const auto &id : candidates) {
        const auto value = unevennessWith(id);
        if (value < best.unevenness_)
            best = Choice{id, value};
    }
    return best;
}

auto chooseAddition(const VoterView &view, const Voters &voters) -> Choice
{
    return choose(view.ready_,
                  [&](const EntryId &id) { return unevenness(view, with(voters, id)); });
}

auto chooseRemoval(const VoterView &view, const Voters &voters, const Voters &candidates) -> Choice
{
    return choose(candidates,
                  [&](const EntryId &id) { return unevenness(view, without(voters, id)); });
}

/// The silent voter whose replacement by a ready instance leaves the most even spread.
auto chooseSilent(const VoterView &view) -> Choice
{
    return choose(view.silent_, [&](const EntryId &id) {
        return chooseAddition(view, without(view.voters_, id)).unevenness_;
    });
}

/// The ready instance that replaces a voter of a zone with more; nothing when none does.
auto chooseMove(const VoterView &view) -> std::optional<EntryId>
{
    const auto movable = without(view.voters_, view.leader_);
    const auto best = choose(view.ready_, [&](const EntryId &id) {
        return chooseRemoval(view, with(view.voters_, id), movable).unevenness_;
    });
    return best.unevenness_ < unevenness(view, view.voters_) ? best.id_ : std::nullopt;
}

auto removalOfExcess(const VoterView &view) -> VoterChange
{
    const auto &candidates
        = view.silent_.empty() ? without(view.voters_, view.leader_) : view.silent_;
    const auto chosen = chooseRemoval(view, view.voters_, candidates);
    return VoterChange{std::nullopt, chosen.id_, VoterChangeReason::TooManyVoters};
}

} // namespace

auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>
{
    if (view.voters_.size() > 1) {
        for (const auto &id : view.wiped_) {
            if (view.voters_.contains(id))
                return VoterChange{std::nullopt, id, VoterChangeReason::EmptyDisk};
        }
    }
    if (view.voters_.size() > view.targetSize_)
        return removalOfExcess(view);
    if (view.ready_.empty())
        return std::nullopt;
    if (view.voters_.size() < view.targetSize_) {
        const auto added = chooseAddition(view, view.voters_);
        return VoterChange{added.id_, std::nullopt, VoterChangeReason::TooFewVoters};
    }
    if (!view.silent_.empty())
        return VoterChange{std::nullopt, chooseSilent(view).id_, VoterChangeReason::Silent};
    if (const auto added = chooseMove(view))
        return VoterChange{added, std::nullopt, VoterChangeReason::UnevenZones};
    return std::nullopt;
}

} // namespace lycheereach
