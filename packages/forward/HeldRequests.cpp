#include "forward/HeldRequests.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lycheereach {

namespace {

/// A fleet that starts as a whole elects a leader and hands out state leases within this time.
constexpr auto startTime = std::chrono::milliseconds(3000);
/// A state lease that lapsed because the leader was lost is renewed by the next one within this
/// time, or the entry is cut off.
constexpr auto lapseTime = std::chrono::milliseconds(1000);
/// The longest that a request waits; callers abandon streams that give nothing for two seconds.
constexpr auto longestHold = std::chrono::milliseconds(1200);
/// The part of a caller's time that may pass in waiting, so that enough is left to serve it, or to
/// come back after a refusal.
constexpr auto patiencePart = 3;
/// Requests held at once; each keeps its connection and its body.
constexpr auto mostHeld = std::size_t{200};

} // namespace

HeldRequests::HeldRequests(MonotonicTime startedAt)
    : startedAt_(startedAt)
{ }

auto HeldRequests::noteWork(MonotonicTime now) -> void
{
    workedAt_ = now;
}

auto HeldRequests::holdUntil(std::optional<Duration> patience, MonotonicTime now) const
    -> std::optional<MonotonicTime>
{
    const auto end = workedAt_ ? *workedAt_ + lapseTime : startedAt_ + startTime;
    auto until = std::min(end, now + longestHold);
    if (patience)
        until = std::min(until, now + *patience / patiencePart);
    if (until <= now || held_.size() >= mostHeld)
        return std::nullopt;
    return until;
}

auto HeldRequests::add(HeldRequest held) -> void
{
    held_.push_back(std::move(held));
}

auto HeldRequests::takeExpired(MonotonicTime now) -> std::vector<HeldRequest>
{
    const auto waits = [&](const HeldRequest &held) { return now < held.until_; };
    const auto first = std::stable_partition(held_.begin(), held_.end(), waits);
    auto expired = std::vector<HeldRequest>(std::make_move_iterator(first),
                                            std::make_move_iterator(held_.end()));
    held_.erase(first, held_.end());
    return expired;
}

auto HeldRequests::takeAll() -> std::vector<HeldRequest>
{
    return std::exchange(held_, {});
}

} // namespace lycheereach
