#include "control/VoterReconciliation.h"

namespace lycheereach {

namespace {

auto firstLiveNonVoter(const VoterView &view) -> std::optional<EntryId>
{
    for (const auto &id : view.live_) {
        if (!view.voters_.contains(id))
            return id;
    }
    return std::nullopt;
}

} // namespace

auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>
{
    if (view.voters_.size() > 1) {
        for (const auto &id : view.wiped_) {
            if (view.voters_.contains(id))
                return VoterChange{std::nullopt, id};
        }
    }
    const auto next = firstLiveNonVoter(view);
    if (!next)
        return std::nullopt;
    if (view.voters_.size() < view.targetSize_)
        return VoterChange{next, std::nullopt};
    for (const auto &id : view.lost_) {
        if (view.voters_.contains(id))
            return VoterChange{std::nullopt, id};
    }
    return std::nullopt;
}

} // namespace lycheereach
