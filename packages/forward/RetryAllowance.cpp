#include "forward/RetryAllowance.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// The part of the limits that is used, since windows of entries do not begin together.
constexpr auto usedPart = 0.8;

} // namespace

RetryAllowance::RetryAllowance(RetryLimits limits)
    : limits_(limits)
{ }

auto RetryAllowance::setEntries(std::size_t entries) -> void
{
    limits_.entries_ = std::max<std::size_t>(entries, 1);
}

auto RetryAllowance::trim(std::deque<MonotonicTime> &times, MonotonicTime now) const -> void
{
    while (!times.empty() && now - times.front() > limits_.window_)
        times.pop_front();
}

auto RetryAllowance::noteRequest(const PoolName &service, MonotonicTime now) -> void
{
    auto &requests = windows_[service].requests_;
    requests.push_back(now);
    trim(requests, now);
}

auto RetryAllowance::take(const PoolName &service, MonotonicTime now) -> bool
{
    auto &window = windows_[service];
    trim(window.requests_, now);
    trim(window.repeats_, now);
    const auto shared = limits_.extra_ / static_cast<double>(limits_.entries_);
    const auto own = limits_.ratio_ * static_cast<double>(window.requests_.size());
    if (static_cast<double>(window.repeats_.size()) + 1 > usedPart * (own + shared))
        return false;
    window.repeats_.push_back(now);
    return true;
}

} // namespace lycheereach
