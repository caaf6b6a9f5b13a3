#include "gateway/ClaimSettler.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// A command that has not been committed for so long is in no leader's log any more.
constexpr auto keep = std::chrono::minutes(10);

} // namespace

ClaimSettler::ClaimSettler(Propose propose, FindClaim find, MonotonicClock now)
    : propose_(std::move(propose))
    , find_(std::move(find))
    , now_(std::move(now))
    , mutex_(LockRank::Requests)
{ }

auto ClaimSettler::settle(const SettleClaim &command, std::function<void()> done) -> void
{
    propose_(command,
             [this, command, done = std::move(done)](const Result<CommandOutcome> &result) {
                 if (isOpen(command, result))
                     remember(command);
                 done();
             });
}

auto ClaimSettler::isOpen(const SettleClaim &command, const Result<CommandOutcome> &result) -> bool
{
    if (!result)
        return true;
    const auto isClaimAbsent = !result->accepted_ && !result->claim_;
    return isClaimAbsent && command.phase_ == ClaimPhase::Released;
}

auto ClaimSettler::remember(const SettleClaim &command) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    unsettled_[command.request_] = Unsettled{command, now_() + keep};
}

auto ClaimSettler::tick() -> void
{
    for (const auto &command : due()) {
        const auto claim = find_(command.key_);
        const auto isClaimed
            = claim && claim->request_ == command.request_ && claim->phase_ == ClaimPhase::Claimed;
        if (isClaimed)
            proposeAgain(command);
    }
}

auto ClaimSettler::due() -> std::vector<SettleClaim>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto now = now_();
    std::erase_if(unsettled_, [&](const auto &item) { return item.second.forgetAt_ <= now; });
    auto commands = std::vector<SettleClaim>{};
    for (const auto &[request, unsettled] : unsettled_) {
        if (!unsettled.underWay_)
            commands.push_back(unsettled.command_);
    }
    return commands;
}

auto ClaimSettler::proposeAgain(const SettleClaim &command) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = unsettled_.find(command.request_);
        if (found == unsettled_.end())
            return;
        found->second.underWay_ = true;
    }
    propose_(command, [this, command](const Result<CommandOutcome> &result) {
        const auto lock = std::scoped_lock(mutex_);
        if (!isOpen(command, result))
            unsettled_.erase(command.request_);
        else if (const auto found = unsettled_.find(command.request_); found != unsettled_.end())
            found->second.underWay_ = false;
    });
}

auto ClaimSettler::remembered() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return unsettled_.size();
}

} // namespace lycheereach
