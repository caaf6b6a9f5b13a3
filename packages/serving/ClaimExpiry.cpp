#include "serving/ClaimExpiry.h"

#include "control/ControlService.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr auto proposalInterval = std::chrono::minutes(1);

} // namespace

ClaimExpiry::ClaimExpiry(ControlService &control, MonotonicClock now, WallClock wallNow)
    : control_(control)
    , now_(std::move(now))
    , wallNow_(std::move(wallNow))
{ }

auto ClaimExpiry::tick() -> void
{
    const auto now = now_();
    if ((proposedAt_ && now - *proposedAt_ < proposalInterval) || !control_.isLeader())
        return;
    proposedAt_ = now;
    const auto command = control_.readState(
        [this](const FleetState &state) { return expiryOf(state, wallNow_()); });
    if (command)
        control_.propose(*command, nullptr);
}

} // namespace lycheereach
