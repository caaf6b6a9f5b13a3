#include "serving/WithdrawalWatch.h"

#include "control/ControlService.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// An upstream takes an answer within a second and then asks elsewhere; the rest is for the way.
constexpr auto patience = std::chrono::milliseconds(800);

} // namespace

WithdrawalWatch::WithdrawalWatch(ControlService &control, EventSink event, MonotonicClock now)
    : control_(control)
    , event_(std::move(event))
    , now_(std::move(now))
    , mutex_(LockRank::Leaseholder)
{ }

auto WithdrawalWatch::await(const UpstreamId &upstream, std::optional<Incarnation> incarnation,
                            std::string reason, Done done) -> void
{
    const auto now = now_();
    auto awaited = Awaited{upstream, incarnation, std::move(reason), std::move(done), now};
    if (isInForce(awaited)) {
        end(awaited, true, now);
        return;
    }
    const auto lock = std::scoped_lock(mutex_);
    awaited_.push_back(std::move(awaited));
}

auto WithdrawalWatch::tick() -> void
{
    const auto now = now_();
    auto open = std::vector<Awaited>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        open = std::exchange(awaited_, {});
    }
    for (auto &awaited : open) {
        if (isInForce(awaited)) {
            end(awaited, true, now);
        } else if (now - awaited.since_ >= patience) {
            end(awaited, false, now);
        } else {
            const auto lock = std::scoped_lock(mutex_);
            awaited_.push_back(std::move(awaited));
        }
    }
}

auto WithdrawalWatch::isInForce(const Awaited &awaited) const -> bool
{
    const auto inForce = control_.inForceIndex();
    return control_.read([&](const FleetState &state) {
        const auto found = state.upstreams_.find(awaited.upstream_);
        if (found == state.upstreams_.end())
            return false;
        const auto &upstream = found->second;
        const auto known = upstream.announced_.incarnation_;
        const auto isSame = awaited.incarnation_.value_or(known) == known;
        return isSame && upstream.withdrawnIndex_ != 0 && upstream.withdrawnIndex_ <= inForce;
    });
}

auto WithdrawalWatch::end(const Awaited &awaited, bool inForce, MonotonicTime now) const -> void
{
    const auto number = inForce ? EventNumber::LeaveAcknowledged : EventNumber::LeaveUnconfirmed;
    event_(Event{number,
                 {{"upstream", awaited.upstream_.text()},
                  {"reason", awaited.reason_},
                  {"ageMs", std::to_string(toMilliseconds(now - awaited.since_))}}});
    awaited.done_(inForce);
}

} // namespace lycheereach
