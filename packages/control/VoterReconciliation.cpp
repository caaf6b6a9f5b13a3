#include "control/VoterReconciliation.h"

namespace lycheereach {

auto nextVoterChange(const VoterView &view) -> std::optional<VoterChange>
{
    if (view.voters_.size() > 1) {
        for (const auto &id : view.wiped_) {
            if (view.voters_.contains(id))
                return VoterChange{std::nullopt, id, VoterChangeReason::EmptyDisk};
        }
    }
    if (view.ready_.empty())
        return std::nullopt;
    if (view.voters_.size() < view.targetSize_)
        return VoterChange{*view.ready_.begin(), std::nullopt, VoterChangeReason::TooFewVoters};
    if (view.silent_.empty())
        return std::nullopt;
    return VoterChange{std::nullopt, *view.silent_.begin(), VoterChangeReason::Silent};
}

} // namespace lycheereach
