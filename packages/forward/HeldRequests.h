/// \file
/// \brief Requests held until their entry may serve them.
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

/// A request held until its entry may serve it.
struct HeldRequest
{
    ForwardRequest request_;
    std::shared_ptr<HttpReply> reply_;
    /// When the request is refused if the entry is still not ready.
    MonotonicTime refuseAt_;
    /// Set when the caller has disconnected.
    std::shared_ptr<std::atomic<bool>> isDisconnected_;
};

/// Holds requests for a short, bounded time until their entry may serve them: an entry that has
/// just started, or whose state lease has just expired, is likely to be ready before a refused
/// caller would retry. Not thread-safe.
class HeldRequests
{
public:
    explicit HeldRequests(MonotonicTime startedAt);

    /// Records that the entry may serve requests at \a now.
    auto recordServing(MonotonicTime now) -> void;
    /// Until when a request that arrives at \a now may be held; nothing when it has to be refused
    /// at once because too many are held, or because the entry has not been ready for so long that
    /// it is probably cut off. \a callerTimeout is nothing when the caller gives none.
    [[nodiscard]] auto holdUntil(std::optional<Duration> callerTimeout, MonotonicTime now) const
        -> std::optional<MonotonicTime>;
    auto add(HeldRequest held) -> void;
    /// Removes and returns the requests whose holding time is over.
    auto takeExpired(MonotonicTime now) -> std::vector<HeldRequest>;
    auto takeAll() -> std::vector<HeldRequest>;
    [[nodiscard]] auto empty() const -> bool { return held_.empty(); }

private:
    /// When the process started.
    MonotonicTime startedAt_;
    /// When the entry was last ready; nothing before it first was.
    std::optional<MonotonicTime> lastServingAt_;
    std::vector<HeldRequest> held_;
};

} // namespace lycheereach
