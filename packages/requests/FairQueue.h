/// \file
/// \brief Weighted fair queueing of requests by workspace, with early load shedding.
#pragma once

#include "requests/QueueItem.h"
#include "requests/ShedItem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// Queues the requests that wait at one entry for a permit of one pool. Workspaces are served by
/// virtual time in proportion to their weights; within a workspace the higher priority comes first,
/// then the older request. Not thread-safe.
class FairQueue
{
public:
    /// At most \a limit requests wait, none longer than \a timeout.
    FairQueue(std::uint32_t limit, Duration timeout);

    /// Adds \a item and returns the requests that have expired or are shed. \a item itself is shed
    /// when it is expected to wait beyond its deadline. A full queue sheds the last request of the
    /// workspace with the longest backlog relative to its weight.
    auto push(const QueueItem &item, MonotonicTime now) -> std::vector<ShedItem>;
    /// Removes and returns the next request that has not expired; call it when one can start.
    auto pop(MonotonicTime now) -> std::optional<QueueItem>;
    /// Removes and returns the requests that waited longer than the timeout or can't finish by
    /// their deadline, including those that pop() skipped.
    auto removeExpired(MonotonicTime now) -> std::vector<ShedItem>;
    /// Removes a request whose caller disconnected; false when it is not queued.
    auto remove(const RequestId &request) -> bool;
    /// Records how long a request ran, from its start to its complete response. A request with less
    /// time left than the smoothed run time is not started.
    auto recordRunTime(Duration time) -> void;
    /// Applies the limits of a changed policy.
    auto setLimits(std::uint32_t limit, Duration timeout) -> void;

    /// The time after which a caller that is refused now may retry.
    [[nodiscard]] auto retryAfter() const -> Duration;
    [[nodiscard]] auto size() const -> std::size_t { return size_; }
    /// How long a request of \a workspace would wait if it were added now.
    [[nodiscard]] auto expectedWait(const WorkspaceName &workspace, std::uint32_t weight) const
        -> Duration;

private:
    /// Order within a workspace: higher priorities first, then older requests.
    using OrderKey = std::pair<std::uint32_t, std::uint64_t>;

    struct QueuedRequest
    {
        QueueItem item_;
        MonotonicTime expiresAt_;
    };

    /// The queue of one workspace.
    struct WorkspaceQueue
    {
        std::uint32_t weight_ = 1;
        /// Virtual start time of this workspace's next request.
        double virtualStart_ = 0;
        std::map<OrderKey, QueuedRequest> requests_;
    };

    using Queues = std::map<WorkspaceName, WorkspaceQueue>;

    auto queueOf(const QueueItem &item) -> WorkspaceQueue &;
    /// Moves expired requests to expired_.
    auto collectExpired(MonotonicTime now) -> void;
    auto shedFromLongestBacklog() -> ShedItem;
    auto recordStart(MonotonicTime now) -> void;
    /// The expected number of requests to start before a request that follows \a ownAhead requests
    /// of its own workspace.
    [[nodiscard]] auto requestsAhead(const WorkspaceName &workspace, std::uint32_t weight,
                                     std::size_t ownAhead) const -> double;
    /// The expected time until \a requests requests have started.
    [[nodiscard]] auto expectedTimeToStart(double requests) const -> Duration;

    std::uint32_t limit_;
    Duration timeout_;
    /// Expired requests that neither push() nor removeExpired() has returned yet.
    std::vector<ShedItem> expired_;
    Queues queues_;
    std::size_t size_ = 0;
    std::uint64_t nextSequenceNumber_ = 0;
    /// No queued request expires before this time.
    MonotonicTime earliestExpiry_ = MonotonicTime::max();
    double virtualTime_ = 0;
    /// Smoothed run time; zero until recordRunTime() is called.
    Duration smoothedRunTime_ = Duration::zero();
    /// Smoothed time between two starts while requests wait; 0 until it is known.
    double secondsBetweenStarts_ = 0;
    /// The last start, when requests were still queued after it.
    std::optional<MonotonicTime> lastStart_;
};

} // namespace lycheereach
