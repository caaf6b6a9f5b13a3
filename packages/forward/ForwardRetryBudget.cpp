#include "forward/ForwardRetryBudget.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// Fraction of the limits that is used; a margin, since the windows of the entries do not start at
/// the same time.
constexpr auto usedFraction = 0.8;

} // namespace

ForwardRetryBudget::ForwardRetryBudget(RetryLimits limits)
    : limits_(limits)
{ }

auto ForwardRetryBudget::setEntries(std::size_t entries) -> void
{
    limits_.entries_ = std::max<std::size_t>(entries, 1);
}

auto ForwardRetryBudget::dropExpired(std::deque<MonotonicTime> &times, MonotonicTime now) const
    -> void
{
    while (!times.empty() && now - times.front() > limits_.window_)
        times.pop_front();
}

auto ForwardRetryBudget::recordRequest(const PoolName &service, MonotonicTime now) -> void
{
    auto &requests = windows_[service].requests_;
    requests.push_back(now);
    dropExpired(requests, now);
}

auto ForwardRetryBudget::tryTake(const PoolName &service, MonotonicTime now) -> bool
{
    auto &window = windows_[service];
    dropExpired(window.requests_, now);
    dropExpired(window.retries_, now);
    const auto extraShare = limits_.extraRetries_ / static_cast<double>(limits_.entries_);
    const auto ratioShare
        = limits_.retriesPerRequest_ * static_cast<double>(window.requests_.size());
    if (static_cast<double>(window.retries_.size()) + 1 > usedFraction * (ratioShare + extraShare))
        return false;
    window.retries_.push_back(now);
    return true;
}

} // namespace lycheereach
