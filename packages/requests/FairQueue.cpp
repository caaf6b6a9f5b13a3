#include "requests/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto topPriority = 9U;
constexpr auto smoothing = 0.1;
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

auto FairQueue::laneOf(const QueueItem &item) -> Lane &
{
    auto &lane = lanes_[item.workspace_];
    lane.weight_ = std::max(item.weight_, 1U);
    if (lane.waiting_.empty())
        lane.due_ = std::max(lane.due_, virtualTime_);
    return lane;
}

auto FairQueue::push(const QueueItem &item, MonotonicTime now) -> std::vector<ShedItem>
{
    auto shed = expire(now);
    auto &lane = laneOf(item);
    const auto rank = Rank{topPriority - std::min(item.priority_, topPriority), nextNumber_++};
    const auto until = std::min(item.deadline_ - runTime_, now + timeout_);
    const auto ownAhead = std::distance(lane.waiting_.begin(), lane.waiting_.lower_bound(rank));
    const auto before = ahead(item.workspace_, lane.weight_, static_cast<std::size_t>(ownAhead));
    if (now + waitFor(before) >= until) {
        shed.push_back({item, retryAfter()});
        return shed;
    }
    lane.waiting_.emplace(rank, Waiting{item, until});
    ++size_;
    earliestExpiry_ = std::min(earliestExpiry_, until);
    if (size_ > limit_)
        shed.push_back(shedLeastEntitled());
    return shed;
}

auto FairQueue::pop(MonotonicTime now) -> std::optional<QueueItem>
{
    dropExpired(now);
    auto best = lanes_.end();
    for (auto lane = lanes_.begin(); lane != lanes_.end();) {
        auto &[name, entry] = *lane;
        if (entry.waiting_.empty() && entry.due_ <= virtualTime_) {
            lane = lanes_.erase(lane);
            continue;
        }
        const auto better = best == lanes_.end() || entry.due_ < best->second.due_;
        if (!entry.waiting_.empty() && better)
            best = lane;
        ++lane;
    }
    if (best == lanes_.end())
        return std::nullopt;
    auto &lane = best->second;
    const auto first = lane.waiting_.begin();
    const auto waiting = first->second;
    lane.waiting_.erase(first);
    --size_;
    virtualTime_ = std::max(virtualTime_, lane.due_);
    lane.due_ += 1.0 / lane.weight_;
    noteStart(now);
    return waiting.item_;
}

auto FairQueue::expire(MonotonicTime now) -> std::vector<ShedItem>
{
    dropExpired(now);
    return std::exchange(expired_, {});
}

auto FairQueue::dropExpired(MonotonicTime now) -> void
{
    if (now < earliestExpiry_)
        return;
    earliestExpiry_ = MonotonicTime::max();
    for (auto &[name, lane] : lanes_) {
        for (auto place = lane.waiting_.begin(); place != lane.waiting_.end();) {
            if (place->second.until_ > now) {
                earliestExpiry_ = std::min(earliestExpiry_, place->second.until_);
                ++place;
                continue;
            }
            expired_.push_back({place->second.item_, retryAfter()});
            place = lane.waiting_.erase(place);
            --size_;
        }
    }
}

auto FairQueue::remove(const RequestId &request) -> bool
{
    for (auto &[name, lane] : lanes_) {
        const auto place
            = std::find_if(lane.waiting_.begin(), lane.waiting_.end(), [&](const auto &entry) {
                  return entry.second.item_.request_ == request;
              });
        if (place == lane.waiting_.end())
            continue;
        lane.waiting_.erase(place);
        --size_;
        return true;
    }
    return false;
}

auto FairQueue::expectedWait(const WorkspaceName &workspace, std::uint32_t weight) const -> Duration
{
    const auto lane = lanes_.find(workspace);
    const auto own = lane == lanes_.end() ? 0 : lane->second.waiting_.size();
    return waitFor(ahead(workspace, weight, own));
}

auto FairQueue::ahead(const WorkspaceName &workspace, std::uint32_t weight,
                      std::size_t ownAhead) const -> double
{
    const auto turns = static_cast<double>(ownAhead + 1) / std::max(weight, 1U);
    auto total = static_cast<double>(ownAhead);
    for (const auto &[name, lane] : lanes_) {
        if (name == workspace)
            continue;
        const auto waiting = static_cast<double>(lane.waiting_.size());
        total += std::min(waiting, turns * lane.weight_);
    }
    return total;
}

auto FairQueue::shedLeastEntitled() -> ShedItem
{
    const auto backlog = [](const Lanes::value_type &entry) {
        const auto &lane = entry.second;
        return static_cast<double>(lane.waiting_.size()) / lane.weight_;
    };
    const auto longest
        = std::max_element(lanes_.begin(), lanes_.end(), [&](const auto &one, const auto &other) {
              return backlog(one) < backlog(other);
          });
    auto &waiting = longest->second.waiting_;
    const auto last = std::prev(waiting.end());
    auto shed = ShedItem{last->second.item_, retryAfter()};
    waiting.erase(last);
    --size_;
    return shed;
}

auto FairQueue::noteStart(MonotonicTime now) -> void
{
    if (lastStart_) {
        const auto seconds = std::chrono::duration<double>(now - *lastStart_).count();
        const auto known = secondsPerStart_ > 0;
        secondsPerStart_ = known ? std::lerp(secondsPerStart_, seconds, smoothing) : seconds;
    }
    if (size_ > 0)
        lastStart_ = now;
    else
        lastStart_.reset();
}

auto FairQueue::noteRunTime(Duration time) -> void
{
    constexpr auto shareOfOne = 10;
    const auto known = runTime_ > Duration::zero();
    runTime_ = known ? runTime_ + (time - runTime_) / shareOfOne : time;
}

auto FairQueue::waitFor(double requests) const -> Duration
{
    const auto seconds = std::chrono::duration<double>(requests * secondsPerStart_);
    return std::chrono::duration_cast<Duration>(seconds);
}

auto FairQueue::retryAfter() const -> Duration
{
    return std::clamp(waitFor(static_cast<double>(size_)), minRetryAfter, maxRetryAfter);
}

} // namespace lycheereach
