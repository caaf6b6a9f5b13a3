/// \file
/// \brief Bounds the repeated sends of one entry in a sliding window.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace lycheereach {

/// The repeated sends that all entries together may make to one service.
struct RetryLimits
{
    /// Repeated sends for each request.
    double ratio_ = 0.1;
    /// Repeated sends that are allowed besides.
    double extra_ = 10;
    Duration window_ = std::chrono::seconds(10);
    /// Entries that share the limits.
    std::size_t entries_ = 1;

    auto operator==(const RetryLimits &) const -> bool = default;
};

/// Bounds the repeated sends of one entry in a sliding window by its equal part of RetryLimits. Not
/// thread-safe.
class ForwardRetryBudget
{
public:
    explicit ForwardRetryBudget(RetryLimits limits);

    auto setEntries(std::size_t entries) -> void;
    /// A caller's request for \a service came.
    auto recordRequest(const PoolName &service, MonotonicTime now) -> void;
    /// Takes one repeated send; false when the window has no more.
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
