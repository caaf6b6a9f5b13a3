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
    const auto delay = sent.accepted_ ? Duration(readBackTimeout) : Duration(repeatDelay);
    return !isSame || now - sent.endedAt_ >= delay;
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
