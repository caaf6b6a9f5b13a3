#include "gateway/ClaimSettler.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// A claim that has not been committed in this time is no longer in the log of any leader.
constexpr auto settlementRetention = std::chrono::minutes(10);

} // namespace

ClaimSettler::ClaimSettler(Propose propose, FindClaim findClaim, MonotonicClock clock)
    : propose_(std::move(propose))
    , findClaim_(std::move(findClaim))
    , clock_(std::move(clock))
    , mutex_(LockRank::Requests)
{ }

auto ClaimSettler::settle(const SettleClaim &command, std::function<void()> done) -> void
{
    propose_(command,
             [this, command, done = std::move(done)](const Result<CommandOutcome> &result) {
                 if (needsRetry(command, result))
                     scheduleRetry(command);
                 done();
             });
}

auto ClaimSettler::needsRetry(const SettleClaim &command, const Result<CommandOutcome> &result)
    -> bool
{
    if (!result)
        return true;
    const auto isClaimAbsent = !result->accepted_ && !result->claim_;
    return isClaimAbsent && command.phase_ == ClaimPhase::Released;
}

auto ClaimSettler::scheduleRetry(const SettleClaim &command) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    pendingSettlements_[command.request_]
        = PendingSettlement{command, clock_() + settlementRetention};
}

auto ClaimSettler::tick() -> void
{
    for (const auto &command : settlementsToRetry()) {
        const auto claim = findClaim_(command.key_);
        const auto isClaimed
            = claim && claim->request_ == command.request_ && claim->phase_ == ClaimPhase::Claimed;
        if (isClaimed)
            proposeAgain(command);
    }
}

auto ClaimSettler::settlementsToRetry() -> std::vector<SettleClaim>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto now = clock_();
    std::erase_if(pendingSettlements_,
                  [&](const auto &item) { return item.second.expiresAt_ <= now; });
    auto commands = std::vector<SettleClaim>{};
    for (const auto &[request, settlement] : pendingSettlements_) {
        if (!settlement.isInFlight_)
            commands.push_back(settlement.command_);
    }
    return commands;
}

auto ClaimSettler::proposeAgain(const SettleClaim &command) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = pendingSettlements_.find(command.request_);
        if (found == pendingSettlements_.end())
            return;
        found->second.isInFlight_ = true;
    }
    propose_(command, [this, command](const Result<CommandOutcome> &result) {
        const auto lock = std::scoped_lock(mutex_);
        if (!needsRetry(command, result))
            pendingSettlements_.erase(command.request_);
        else if (const auto found = pendingSettlements_.find(command.request_);
                 found != pendingSettlements_.end())
            found->second.isInFlight_ = false;
    });
}

auto ClaimSettler::pendingCount() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return pendingSettlements_.size();
}

} // namespace lycheereach
