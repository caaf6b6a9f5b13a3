#include "requests/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto maxPriority = 9U;
/// The weight of the newest interval in the smoothed time between starts.
constexpr auto startSmoothingFactor = 0.1;
constexpr auto minRetryAfter = Duration(std::chrono::milliseconds(100));
constexpr auto maxRetryAfter = Duration(std::chrono::seconds(30));

} // namespace

FairQueue::FairQueue(std::uint32_t limit, Duration timeout)
    : limit_(limit)
    , timeout_(timeout)
{ }

auto FairQueue::setLimits(std::uint32_t limit, Duration timeout) -> void
{
    limit_ = limit;
    timeout_ = timeout;
}

auto FairQueue::queueOf(const QueueItem &item) -> WorkspaceQueue &
{
    auto &queue = queues_[item.workspace_];
    queue.weight_ = std::max(item.weight_, 1U);
    if (queue.requests_.empty())
        queue.virtualStart_ = std::max(queue.virtualStart_, virtualTime_);
    return queue;
}

auto FairQueue::push(const QueueItem &item, MonotonicTime now) -> std::vector<ShedItem>
{
    auto shed = removeExpired(now);
    auto &queue = queueOf(item);
    const auto key
        = OrderKey{maxPriority - std::min(item.priority_, maxPriority), nextSequenceNumber_++};
    const auto expiresAt = std::min(item.deadline_ - smoothedRunTime_, now + timeout_);
    const auto ownAhead = std::distance(queue.requests_.begin(), queue.requests_.lower_bound(key));
    const auto queuedBefore
        = requestsAhead(item.workspace_, queue.weight_, static_cast<std::size_t>(ownAhead));
    if (now + expectedTimeToStart(queuedBefore) >= expiresAt) {
        shed.push_back({item, retryAfter()});
        return shed;
    }
    queue.requests_.emplace(key, QueuedRequest{item, expiresAt});
    ++size_;
    earliestExpiry_ = std::min(earliestExpiry_, expiresAt);
    if (size_ > limit_)
        shed.push_back(shedFromLongestBacklog());
    return shed;
}

auto FairQueue::pop(MonotonicTime now) -> std::optional<QueueItem>
{
    collectExpired(now);
    auto best = queues_.end();
    for (auto queue = queues_.begin(); queue != queues_.end();) {
        auto &[name, candidate] = *queue;
        if (candidate.requests_.empty() && candidate.virtualStart_ <= virtualTime_) {
            queue = queues_.erase(queue);
            continue;
        }
        const auto isEarlier
            = best == queues_.end() || candidate.virtualStart_ < best->second.virtualStart_;
        if (!candidate.requests_.empty() && isEarlier)
            best = queue;
        ++queue;
    }
    if (best == queues_.end())
        return std::nullopt;
    auto &queue = best->second;
    const auto first = queue.requests_.begin();
    const auto next = first->second;
    queue.requests_.erase(first);
    --size_;
    virtualTime_ = std::max(virtualTime_, queue.virtualStart_);
    queue.virtualStart_ += 1.0 / queue.weight_;
    recordStart(now);
    return next.item_;
}

auto FairQueue::removeExpired(MonotonicTime now) -> std::vector<ShedItem>
{
    collectExpired(now);
    return std::exchange(expired_, {});
}

auto FairQueue::collectExpired(MonotonicTime now) -> void
{
    if (now < earliestExpiry_)
        return;
    earliestExpiry_ = MonotonicTime::max();
    for (auto &[name, queue] : queues_) {
        for (auto position = queue.requests_.begin(); position != queue.requests_.end();) {
            if (position->second.expiresAt_ > now) {
                earliestExpiry_ = std::min(earliestExpiry_, position->second.expiresAt_);
                ++position;
                continue;
            }
            expired_.push_back({position->second.item_, retryAfter()});
            position = queue.requests_.erase(position);
            --size_;
        }
    }
}

auto FairQueue::remove(const RequestId &request) -> bool
{
    for (auto &[name, queue] : queues_) {
        const auto position = std::find_if(
            queue.requests_.begin(), queue.requests_.end(),
            [&](const auto &candidate) { return candidate.second.item_.request_ == request; });
        if (position == queue.requests_.end())
            continue;
        queue.requests_.erase(position);
        --size_;
        return true;
    }
    return false;
}

auto FairQueue::expectedWait(const WorkspaceName &workspace, std::uint32_t weight) const -> Duration
{
    const auto queue = queues_.find(workspace);
    const auto own = queue == queues_.end() ? 0 : queue->second.requests_.size();
    return expectedTimeToStart(requestsAhead(workspace, weight, own));
}

auto FairQueue::requestsAhead(const WorkspaceName &workspace, std::uint32_t weight,
                              std::size_t ownAhead) const -> double
{
    const auto turns = static_cast<double>(ownAhead + 1) / std::max(weight, 1U);
    auto total = static_cast<double>(ownAhead);
    for (const auto &[name, queue] : queues_) {
        if (name == workspace)
            continue;
        const auto queued = static_cast<double>(queue.requests_.size());
        total += std::min(queued, turns * queue.weight_);
    }
    return total;
}

auto FairQueue::shedFromLongestBacklog() -> ShedItem
{
    const auto backlog = [](const Queues::value_type &namedQueue) {
        const auto &queue = namedQueue.second;
        return static_cast<double>(queue.requests_.size()) / queue.weight_;
    };
    const auto longest
        = std::max_element(queues_.begin(), queues_.end(), [&](const auto &one, const auto &other) {
              return backlog(one) < backlog(other);
          });
    auto &backlogged = longest->second.requests_;
    const auto last = std::prev(backlogged.end());
    auto shed = ShedItem{last->second.item_, retryAfter()};
    backlogged.erase(last);
    --size_;
    return shed;
}

auto FairQueue::recordStart(MonotonicTime now) -> void
{
    if (lastStart_) {
        const auto seconds = std::chrono::duration<double>(now - *lastStart_).count();
        const auto hasEstimate = secondsBetweenStarts_ > 0;
        secondsBetweenStarts_ = hasEstimate
            ? std::lerp(secondsBetweenStarts_, seconds, startSmoothingFactor)
            : seconds;
    }
    if (size_ > 0)
        lastStart_ = now;
    else
        lastStart_.reset();
}

auto FairQueue::recordRunTime(Duration time) -> void
{
    constexpr auto smoothingDivisor = 10;
    const auto hasRunTime = smoothedRunTime_ > Duration::zero();
    smoothedRunTime_
        = hasRunTime ? smoothedRunTime_ + (time - smoothedRunTime_) / smoothingDivisor : time;
}

auto FairQueue::expectedTimeToStart(double requests) const -> Duration
{
    const auto seconds = std::chrono::duration<double>(requests * secondsBetweenStarts_);
    return std::chrono::duration_cast<Duration>(seconds);
}

auto FairQueue::retryAfter() const -> Duration
{
    return std::clamp(expectedTimeToStart(static_cast<double>(size_)), minRetryAfter,
                      maxRetryAfter);
}

} // namespace lycheereach
