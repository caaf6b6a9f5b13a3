#include "requests/RetryBudget.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto floorPerSecond = 1.0;
constexpr auto floorTokens = 5.0;
constexpr auto maxTokens = 100.0;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : percent_(percent)
    , tokens_(floorTokens)
{ }

auto RetryBudget::setPercent(std::uint32_t percent) -> void
{
    percent_ = percent;
}

auto RetryBudget::noteFirstAttempt() -> void
{
    tokens_ = std::min(tokens_ + percent_ / 100.0, maxTokens);
}

auto RetryBudget::takeRetry(MonotonicTime now) -> bool
{
    const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = std::max(refilledAt_, now);
    if (tokens_ < floorTokens)
        tokens_ = std::min(tokens_ + std::max(elapsed, 0.0) * floorPerSecond, floorTokens);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace lycheereach
