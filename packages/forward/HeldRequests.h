/// \file
/// \brief Requests that wait until their entry may take work.
#pragma once

#include "base/Time.h"
#include "forward/ForwardRequest.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace lycheereach {

class HttpReply;

/// A request that waits until its entry may take work.
struct HeldRequest
{
    ForwardRequest request_;
    std::shared_ptr<HttpReply> reply_;
    /// When it is to be refused.
    MonotonicTime refuseAt_;
    /// Set when the caller has left.
    std::shared_ptr<std::atomic<bool>> isDisconnected_;
};

/// Requests that wait, for a short and bounded time, until their entry may take work: an entry that
/// has just started, or whose state lease has just lapsed, is likely to work again before a caller
/// that was refused would be back. Not thread-safe.
class HeldRequests
{
public:
    explicit HeldRequests(MonotonicTime startedAt);

    /// The entry takes work.
    auto recordServing(MonotonicTime now) -> void;
    /// Until when a request that comes now may wait; nothing when it is to be refused at once: the
    /// entry has not worked for so long that it is probably cut off, or too many wait already.
    [[nodiscard]] auto holdUntil(std::optional<Duration> callerTimeout, MonotonicTime now) const
        -> std::optional<MonotonicTime>;
    auto add(HeldRequest held) -> void;
    /// Takes those that have waited long enough.
    auto takeExpired(MonotonicTime now) -> std::vector<HeldRequest>;
    auto takeAll() -> std::vector<HeldRequest>;
    [[nodiscard]] auto empty() const -> bool { return held_.empty(); }

private:
    MonotonicTime startedAt_;
    std::optional<MonotonicTime> lastServingAt_;
    std::vector<HeldRequest> held_;
};

} // namespace lycheereach
