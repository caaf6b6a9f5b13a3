#include "groups/OrderTracker.h"

#include "groups/MemberAddress.h"
#include "state/Upstream.h"

#include <chrono>
#include <utility>

namespace lycheereach {

namespace {

/// How long an engine may take to announce the effect of an order that it accepted.
constexpr auto confirmationTimeout = std::chrono::seconds(2);
/// The delay before a refused or unanswered order is repeated.
constexpr auto retryDelay = std::chrono::milliseconds(500);
/// As confirmationTimeout and retryDelay, for loads of weights: an engine that loads refuses
/// another load until it has finished.
constexpr auto loadConfirmationTimeout = std::chrono::seconds(20);
constexpr auto loadRetryDelay = std::chrono::seconds(3);

/// The delay before an order of \a kind is repeated.
auto resendDelay(OrderKind kind, bool accepted) -> Duration
{
    if (kind == OrderKind::Load)
        return accepted ? Duration(loadConfirmationTimeout) : Duration(loadRetryDelay);
    return accepted ? Duration(confirmationTimeout) : Duration(retryDelay);
}

} // namespace

auto OrderTracker::maySend(const Upstream &upstream, const EngineOrder &order,
                           MonotonicTime now) const -> bool
{
    const auto found = sent_.find(order.upstream_);
    if (found == sent_.end())
        return true;
    const auto &sent = found->second;
    if (sent.inFlight_)
        return false;
    const auto isSame
        = sent.order_ == order && sent.incarnation_ == upstream.announced_.incarnation_;
    return !isSame || now - sent.endedAt_ >= resendDelay(order.kind_, sent.accepted_);
}

auto OrderTracker::send(const Upstream &upstream, const EngineOrder &order, MonotonicTime now)
    -> bool
{
    if (!maySend(upstream, order, now))
        return false;
    sent_[order.upstream_] = SentOrder{order, upstream.announced_.incarnation_, true, false, {}};
    queued_.push_back(order);
    return true;
}

auto OrderTracker::takeQueued() -> std::vector<EngineOrder>
{
    return std::exchange(queued_, {});
}

auto OrderTracker::markEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void
{
    const auto found = sent_.find(upstream);
    if (found == sent_.end())
        return;
    found->second.inFlight_ = false;
    found->second.accepted_ = accepted;
    found->second.endedAt_ = now;
}

auto OrderTracker::reset() -> void
{
    sent_.clear();
    queued_.clear();
}

} // namespace lycheereach
