/// \file
/// \brief Weighted fair queueing over workspaces with early shedding.
#pragma once

#include "requests/QueueItem.h"
#include "requests/ShedItem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// The requests that wait at one entry for one pool. Workspaces are served by virtual time in
/// proportion to their weights; within a workspace the higher priority first, then the older
/// request. Not thread-safe.
class FairQueue
{
public:
    /// At most \a limit requests wait, none longer than \a timeout.
    FairQueue(std::uint32_t limit, Duration timeout);

    /// Adds \a item and returns what has expired and what is shed for it, which may be \a item
    /// itself: a request whose expected wait is beyond its deadline, or of a full queue the least
    /// entitled one.
    auto push(const QueueItem &item, MonotonicTime now) -> std::vector<ShedItem>;
    /// Takes the next request, to be called when one can start; nothing that has expired.
    auto pop(MonotonicTime now) -> std::optional<QueueItem>;
    /// Takes out what has waited too long or missed its deadline, also on behalf of pop().
    auto expire(MonotonicTime now) -> std::vector<ShedItem>;
    /// Takes out a request whose caller is gone; false when it does not wait.
    auto remove(const RequestId &request) -> bool;
    /// Tells how long a request ran from its start to its whole answer. A request that has less
    /// time left than they take on average is not started.
    auto noteRunTime(Duration time) -> void;
    /// Takes over the limits of a new policy.
    auto setLimits(std::uint32_t limit, Duration timeout) -> void;

    /// When a caller that is refused now may come back.
    [[nodiscard]] auto retryAfter() const -> Duration;
    [[nodiscard]] auto size() const -> std::size_t { return size_; }
    /// How long a request of \a workspace added now would wait.
    [[nodiscard]] auto expectedWait(const WorkspaceName &workspace, std::uint32_t weight) const
        -> Duration;

private:
    /// Order within a workspace: the higher priority first, then the older.
    using Rank = std::pair<std::uint32_t, std::uint64_t>;

    struct Waiting
    {
        QueueItem item_;
        MonotonicTime until_;
    };

    struct Lane
    {
        std::uint32_t weight_ = 1;
        /// Virtual time at which the next request of this workspace is due.
        double due_ = 0;
        std::map<Rank, Waiting> waiting_;
    };

    using Lanes = std::map<WorkspaceName, Lane>;

    auto laneOf(const QueueItem &item) -> Lane &;
    auto dropExpired(MonotonicTime now) -> void;
    auto shedLeastEntitled() -> ShedItem;
    auto noteStart(MonotonicTime now) -> void;
    /// How many requests start before one that \a ownAhead of its own workspace precede.
    [[nodiscard]] auto ahead(const WorkspaceName &workspace, std::uint32_t weight,
                             std::size_t ownAhead) const -> double;
    [[nodiscard]] auto waitFor(double requests) const -> Duration;

    std::uint32_t limit_;
    Duration timeout_;
    /// Taken out, but not yet returned by push() or expire().
    std::vector<ShedItem> expired_;
    Lanes lanes_;
    std::size_t size_ = 0;
    std::uint64_t nextNumber_ = 0;
    /// No waiting request expires before.
    MonotonicTime earliestExpiry_ = MonotonicTime::max();
    double virtualTime_ = 0;
    /// Smoothed over noteRunTime().
    Duration runTime_ = Duration::zero();
    /// Smoothed time between two starts while requests wait.
    double secondsPerStart_ = 0;
    std::optional<MonotonicTime> lastStart_;
};

} // namespace lycheereach
