#include "leases/LeaseGrantor.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// The grantor counts each lease for 1/20 longer, since clocks run at different rates.
constexpr auto clockDriftDivisor = 20;

auto withClockDriftMargin(Duration duration) -> Duration
{
    return duration + duration / clockDriftDivisor;
}

} // namespace

LeaseGrantor::LeaseGrantor(Duration leaseDuration)
    : leaseDuration_(leaseDuration)
{ }

auto LeaseGrantor::takeOverHolders(const std::vector<EntryId> &holders, MonotonicTime now) -> void
{
    for (const auto &holder : holders)
        leases_[holder] = HeldLease{now + withClockDriftMargin(leaseDuration_), 0};
}

auto LeaseGrantor::takeOverUnknownHolders(MonotonicTime now) -> void
{
    unknownHoldersUntil_ = now + withClockDriftMargin(leaseDuration_);
}

auto LeaseGrantor::grant(const EntryId &holder, LogIndex applied, Duration limit, MonotonicTime now)
    -> Duration
{
    const auto duration = std::min(leaseDuration_, limit);
    auto &lease = leases_[holder];
    lease.expiresAt_ = std::max(lease.expiresAt_, now + withClockDriftMargin(duration));
    lease.applied_ = applied;
    return duration;
}

auto LeaseGrantor::release(const EntryId &holder) -> void
{
    leases_.erase(holder);
}

auto LeaseGrantor::confirmedIndex(LogIndex own, MonotonicTime now) const -> LogIndex
{
    if (unknownHoldersUntil_ && now < *unknownHoldersUntil_)
        return 0;
    auto confirmed = own;
    for (const auto &[holder, lease] : leases_) {
        if (lease.expiresAt_ > now)
            confirmed = std::min(confirmed, lease.applied_);
    }
    return confirmed;
}

auto LeaseGrantor::holdersBehind(LogIndex index, MonotonicTime now) const -> std::vector<EntryId>
{
    auto waiting = std::vector<EntryId>{};
    for (const auto &[holder, lease] : leases_) {
        if (lease.expiresAt_ > now && lease.applied_ < index)
            waiting.push_back(holder);
    }
    return waiting;
}

auto LeaseGrantor::holders(MonotonicTime now) const -> std::vector<EntryId>
{
    auto current = std::vector<EntryId>{};
    for (const auto &[holder, lease] : leases_) {
        if (lease.expiresAt_ > now)
            current.push_back(holder);
    }
    return current;
}

} // namespace lycheereach
