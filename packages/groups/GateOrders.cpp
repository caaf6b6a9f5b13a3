#include "groups/GateOrders.h"

#include "groups/MemberAddress.h"
#include "state/Upstream.h"

#include <chrono>
#include <utility>

namespace lycheereach {

namespace {

/// How long an engine may take to announce what an accepted order did.
constexpr auto readBackTimeout = std::chrono::seconds(2);
/// The pause before a refused or unanswered order is repeated.
constexpr auto repeatDelay = std::chrono::milliseconds(500);
/// As readBackTimeout and repeatDelay, for loads of weights: an engine that loads refuses another
/// load until it has finished.
constexpr auto loadReadBackTimeout = std::chrono::seconds(20);
constexpr auto loadRepeatDelay = std::chrono::seconds(3);

/// The pause before an order of \a kind is repeated.
auto pauseAfter(OrderKind kind, bool accepted) -> Duration
{
    if (kind == OrderKind::Load)
        return accepted ? Duration(loadReadBackTimeout) : Duration(loadRepeatDelay);
    return accepted ? Duration(readBackTimeout) : Duration(repeatDelay);
}

} // namespace

auto GateOrders::maySend(const Upstream &upstream, const MemberOrder &order,
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
    return !isSame || now - sent.endedAt_ >= pauseAfter(order.kind_, sent.accepted_);
}

auto GateOrders::send(const Upstream &upstream, const MemberOrder &order, MonotonicTime now) -> bool
{
    if (!maySend(upstream, order, now))
        return false;
    sent_[order.upstream_] = Sent{order, upstream.announced_.incarnation_, true, false, {}};
    orders_.push_back(order);
    return true;
}

auto GateOrders::take() -> std::vector<MemberOrder>
{
    return std::exchange(orders_, {});
}

auto GateOrders::ended(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void
{
    const auto found = sent_.find(upstream);
    if (found == sent_.end())
        return;
    found->second.inFlight_ = false;
    found->second.accepted_ = accepted;
    found->second.endedAt_ = now;
}

auto GateOrders::reset() -> void
{
    sent_.clear();
    orders_.clear();
}

} // namespace lycheereach
