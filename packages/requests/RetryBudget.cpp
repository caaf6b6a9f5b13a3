#include "requests/RetryBudget.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto guaranteedTokensPerSecond = 1.0;
/// Up to this level tokens are refilled at the guaranteed rate, whatever the traffic.
constexpr auto guaranteedTokens = 5.0;
constexpr auto maxTokens = 100.0;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : percent_(percent)
    , tokens_(guaranteedTokens)
{ }

auto RetryBudget::setPercent(std::uint32_t percent) -> void
{
    percent_ = percent;
}

auto RetryBudget::recordFirstAttempt() -> void
{
    tokens_ = std::min(tokens_ + percent_ / 100.0, maxTokens);
}

auto RetryBudget::tryTakeRetry(MonotonicTime now) -> bool
{
    const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = std::max(refilledAt_, now);
    if (tokens_ < guaranteedTokens)
        tokens_ = std::min(tokens_ + std::max(elapsed, 0.0) * guaranteedTokensPerSecond,
                           guaranteedTokens);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace lycheereach
