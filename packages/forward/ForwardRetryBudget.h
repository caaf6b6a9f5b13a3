/// \file
/// \brief Retry budget of one entry in a sliding window.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace lycheereach {

/// The retries that all entries together may send to one service within a window.
struct RetryLimits
{
    /// Retries per request.
    double retriesPerRequest_ = 0.1;
    /// Retries allowed in addition, independent of the number of requests.
    double extraRetries_ = 10;
    Duration window_ = std::chrono::seconds(10);
    /// Number of entries that share extraRetries_.
    std::size_t entries_ = 1;

    auto operator==(const RetryLimits &) const -> bool = default;
};

/// Limits the retries of one entry to its share of RetryLimits: the ratio of its own requests plus
/// an equal part of the extra retries. Not thread-safe.
class ForwardRetryBudget
{
public:
    explicit ForwardRetryBudget(RetryLimits limits);

    auto setEntries(std::size_t entries) -> void;
    /// Records a caller's request for \a service.
    auto recordRequest(const PoolName &service, MonotonicTime now) -> void;
    /// Takes one retry from the budget; false when it is spent.
    auto tryTake(const PoolName &service, MonotonicTime now) -> bool;

private:
    struct Window
    {
        std::deque<MonotonicTime> requests_;
        std::deque<MonotonicTime> retries_;
    };

    auto dropExpired(std::deque<MonotonicTime> &times, MonotonicTime now) const -> void;

    RetryLimits limits_;
    std::map<PoolName, Window> windows_;
};

} // namespace lycheereach
