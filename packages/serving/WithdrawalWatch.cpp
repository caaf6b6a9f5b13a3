#include "serving/WithdrawalWatch.h"

#include "control/ControlService.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// An upstream waits one second for an answer before it asks another control process; the remaining
/// 200 ms are for the network.
constexpr auto confirmationTimeout = std::chrono::milliseconds(800);

} // namespace

WithdrawalWatch::WithdrawalWatch(ControlService &control, EventSink event, MonotonicClock now)
    : control_(control)
    , event_(std::move(event))
    , now_(std::move(now))
    , mutex_(LockRank::Leaseholder)
{ }

auto WithdrawalWatch::notifyWhenInForce(const UpstreamId &upstream,
                                        std::optional<Incarnation> incarnation, std::string reason,
                                        Done done) -> void
{
    const auto now = now_();
    auto withdrawal
        = PendingWithdrawal{upstream, incarnation, std::move(reason), std::move(done), now};
    if (isInForce(withdrawal)) {
        finish(withdrawal, true, now);
        return;
    }
    const auto lock = std::scoped_lock(mutex_);
    pendingWithdrawals_.push_back(std::move(withdrawal));
}

auto WithdrawalWatch::tick() -> void
{
    const auto now = now_();
    auto withdrawals = std::vector<PendingWithdrawal>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        withdrawals = std::exchange(pendingWithdrawals_, {});
    }
    for (auto &withdrawal : withdrawals) {
        if (isInForce(withdrawal)) {
            finish(withdrawal, true, now);
        } else if (now - withdrawal.since_ >= confirmationTimeout) {
            finish(withdrawal, false, now);
        } else {
            const auto lock = std::scoped_lock(mutex_);
            pendingWithdrawals_.push_back(std::move(withdrawal));
        }
    }
}

auto WithdrawalWatch::isInForce(const PendingWithdrawal &withdrawal) const -> bool
{
    const auto inForce = control_.inForceIndex();
    return control_.readState([&](const FleetState &state) {
        const auto found = state.upstreams_.find(withdrawal.upstream_);
        if (found == state.upstreams_.end())
            return false;
        const auto &upstream = found->second;
        const auto known = upstream.announced_.incarnation_;
        const auto isSame = withdrawal.incarnation_.value_or(known) == known;
        return isSame && upstream.withdrawnIndex_ != 0 && upstream.withdrawnIndex_ <= inForce;
    });
}

auto WithdrawalWatch::finish(const PendingWithdrawal &withdrawal, bool inForce,
                             MonotonicTime now) const -> void
{
    const auto number = inForce ? EventNumber::LeaveAcknowledged : EventNumber::LeaveUnconfirmed;
    event_(Event{number,
                 {{"upstream", withdrawal.upstream_.text()},
                  {"reason", withdrawal.reason_},
                  {"ageMs", std::to_string(toMilliseconds(now - withdrawal.since_))}}});
    withdrawal.done_(inForce);
}

} // namespace lycheereach
