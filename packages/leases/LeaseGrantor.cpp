#include "leases/LeaseGrantor.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// The grantor counts a lease for longer by this fraction: clock rates differ.
constexpr auto marginDivisor = 20;

auto withMargin(Duration duration) -> Duration
{
    return duration + duration / marginDivisor;
}

} // namespace

LeaseGrantor::LeaseGrantor(Duration leaseDuration)
    : leaseDuration_(leaseDuration)
{ }

auto LeaseGrantor::takeOver(const std::vector<EntryId> &holders, MonotonicTime now) -> void
{
    for (const auto &holder : holders)
        held_[holder] = Held{now + withMargin(leaseDuration_), 0};
}

auto LeaseGrantor::takeOverUnknown(MonotonicTime now) -> void
{
    unknownUntil_ = now + withMargin(leaseDuration_);
}

auto LeaseGrantor::grant(const EntryId &holder, LogIndex applied, Duration limit, MonotonicTime now)
    -> Duration
{
    const auto duration = std::min(leaseDuration_, limit);
    auto &held = held_[holder];
    held.end_ = std::max(held.end_, now + withMargin(duration));
    held.applied_ = applied;
    return duration;
}

auto LeaseGrantor::release(const EntryId &holder) -> void
{
    held_.erase(holder);
}

auto LeaseGrantor::confirmedIndex(LogIndex own, MonotonicTime now) const -> LogIndex
{
    if (unknownUntil_ && now < *unknownUntil_)
        return 0;
    auto confirmed = own;
    for (const auto &[holder, held] : held_) {
        if (held.end_ > now)
            confirmed = std::min(confirmed, held.applied_);
    }
    return confirmed;
}

auto LeaseGrantor::waitingFor(LogIndex index, MonotonicTime now) const -> std::vector<EntryId>
{
    auto waiting = std::vector<EntryId>{};
    for (const auto &[holder, held] : held_) {
        if (held.end_ > now && held.applied_ < index)
            waiting.push_back(holder);
    }
    return waiting;
}

auto LeaseGrantor::holders(MonotonicTime now) const -> std::vector<EntryId>
{
    auto live = std::vector<EntryId>{};
    for (const auto &[holder, held] : held_) {
        if (held.end_ > now)
            live.push_back(holder);
    }
    return live;
}

} // namespace lycheereach
