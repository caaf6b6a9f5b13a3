#include "routing/PermitTable.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// How long the notice that a request was started may take to arrive.
constexpr auto maxNoticeDelay = std::chrono::milliseconds(250);
/// An announcement may miss requests started within this many announcement intervals before it.
constexpr auto reportLagIntervals = 2;
/// A group that is slower than the median of its peers by more than this factor gets fewer
/// requests.
constexpr auto maxSlowdownFactor = 2.0;

/// How long the notice that a request ended may take to arrive.
constexpr auto endNoticeTimeout = std::chrono::seconds(5);

constexpr auto notHeldRetryMs = 50U;
constexpr auto notServingRetryMs = 500U;
constexpr auto drainingRetryMs = 1000U;
constexpr auto minRetryMs = 20;
constexpr auto maxRetryMs = 1000;

auto permitTtl(const Policy &policy) -> Duration
{
    return std::chrono::milliseconds(policy.permitTtlMs_);
}

auto maxReportLag(const Policy &policy) -> Duration
{
    return std::chrono::milliseconds(policy.announceEveryMs_ * reportLagIntervals);
}

auto mustDrain(const FleetState &state, const Group &group) -> bool
{
    if (group.phase_ == GroupPhase::Draining || isZoneOut(state, group.zone_))
        return true;
    const auto isLeaving = [&](const UpstreamId &member) {
        const auto found = state.upstreams_.find(member);
        if (found == state.upstreams_.end())
            return true;
        const auto &upstream = found->second;
        return isWithdrawn(upstream) || isZoneOut(state, upstream.announced_.zone_);
    };
    return std::any_of(group.members_.begin(), group.members_.end(), isLeaving);
}

auto clampRetry(std::int64_t milliseconds) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(milliseconds, minRetryMs, maxRetryMs));
}

} // namespace

PermitTable::PermitTable(EntryId self)
    : self_(std::move(self))
{ }

auto PermitTable::update(const FleetState &state, MonotonicTime now) -> void
{
    entries_.clear();
    for (const auto &[id, entry] : state.entries_) {
        if (entry.phase_ != EntryPhase::Lost)
            entries_.emplace(id, entry.incarnation_);
    }
    std::erase_if(heldGroups_, [&](const auto &item) {
        const auto group = state.groups_.find(item.first);
        return group == state.groups_.end() || group->second.leaseholder_ != self_
            || group->second.leaseNumber_ != item.second.group_.leaseNumber_;
    });
    groupOf_.clear();
    for (const auto &[id, group] : state.groups_) {
        if (group.leaseholder_ != self_)
            continue;
        if (!heldGroups_.contains(id))
            addHeldGroup(state, group, now);
        updateHeldGroup(state, heldGroups_.at(id), group, now);
        for (const auto &member : group.members_)
            groupOf_.emplace(member, id);
    }
}

auto PermitTable::addHeldGroup(const FleetState &state, const Group &group, MonotonicTime now)
    -> void
{
    auto &held = heldGroups_[group.id_];
    held.isTakingOver_ = group.leaseNumber_ > 1;
    held.policy_ = policyFor(state.declaration_, group.zone_, group.pool_, group.members_.front());
    held.countsReliableFrom_ = now;
    if (held.isTakingOver_)
        held.countsReliableFrom_
            += permitTtl(held.policy_) + maxNoticeDelay + maxReportLag(held.policy_);
}

auto PermitTable::updateHeldGroup(const FleetState &state, HeldGroup &held, const Group &group,
                                  MonotonicTime now) -> void
{
    const auto isNewEpoch = held.group_.epoch_ != group.epoch_;
    held.group_ = group;
    held.policy_ = policyFor(state.declaration_, group.zone_, group.pool_, group.members_.front());
    held.ramp_.configure(held.policy_.coldLimit_, held.policy_.warmLimit_,
                         held.policy_.rampCompletions_);
    held.isDraining_ = mustDrain(state, group);
    if (held.isDraining_)
        recallUnstarted(held);
    dropPermitsOfLostEntries(state, held, now);
    if (!isNewEpoch)
        return;
    held.isServing_ = false;
    held.members_.clear();
    for (const auto &id : group.members_) {
        const auto upstream = state.upstreams_.find(id);
        if (upstream == state.upstreams_.end())
            continue;
        const auto &announced = upstream->second.announced_;
        held.members_[id] = Member{announced.incarnation_, announced.cold_, announced.carries_};
    }
    std::erase_if(held.permits_, [](const auto &item) { return !item.second.startedAt_; });
    restartRamp(held);
}

auto PermitTable::dropPermitsOfLostEntries(const FleetState &state, HeldGroup &held,
                                           MonotonicTime now) -> void
{
    for (auto permit = held.permits_.begin(); permit != held.permits_.end();) {
        const auto entry = state.entries_.find(permit->second.entry_);
        const auto isSame = entry != state.entries_.end()
            && entry->second.phase_ != EntryPhase::Lost
            && entry->second.incarnation_ == permit->second.incarnation_;
        if (isSame) {
            ++permit;
            continue;
        }
        addUnaccounted(held, now);
        permit = held.permits_.erase(permit);
    }
}

auto PermitTable::setServing(const GroupId &group, bool serving) -> void
{
    const auto held = heldGroups_.find(group);
    if (held == heldGroups_.end())
        return;
    held->second.isServing_ = serving;
    if (!serving)
        recallUnstarted(held->second);
}

auto PermitTable::grantPermit(const GroupId &group, const EntryId &entry, const AttemptId &attempt,
                              MonotonicTime now) -> std::variant<Permit, PermitRefusal>
{
    const auto found = heldGroups_.find(group);
    const auto takingEntry = entries_.find(entry);
    if (found == heldGroups_.end() || takingEntry == entries_.end())
        return PermitRefusal{RefusalReason::NotHeld, notHeldRetryMs};
    auto &held = found->second;
    for (auto &[number, permit] : held.permits_) {
        const auto isSame = permit.attempt_ == attempt && permit.entry_ == entry
            && permit.epoch_ == held.group_.epoch_ && !permit.startedAt_ && !permit.isRecalled_;
        if (!isSame)
            continue;
        permit.grantedAt_ = now;
        return makePermit(held, number);
    }
    if (const auto refused = refusalFor(held, now))
        return *refused;
    const auto number = ++held.lastNumber_;
    held.permits_[number] = GrantedPermit{entry, takingEntry->second, attempt, held.group_.epoch_,
                                          now,   std::nullopt,        false};
    return makePermit(held, number);
}

auto PermitTable::refusalFor(const HeldGroup &held, MonotonicTime now) const
    -> std::optional<PermitRefusal>
{
    if (held.isDraining_)
        return PermitRefusal{RefusalReason::Draining, drainingRetryMs};
    if (!held.isServing_ || held.group_.phase_ != GroupPhase::Serving)
        return PermitRefusal{RefusalReason::NotServing, notServingRetryMs};
    if (held.isTakingOver_) {
        const auto wait = toMilliseconds(held.countsReliableFrom_ - now);
        return PermitRefusal{RefusalReason::TakingOver, clampRetry(wait)};
    }
    const auto allowed = permitLimit(held);
    if (inUse(held) < allowed)
        return std::nullopt;
    const auto wait = toMilliseconds(held.ramp_.recentLatency()) / std::max(allowed, 1U);
    return PermitRefusal{RefusalReason::Full, clampRetry(wait)};
}

auto PermitTable::requestStarted(const GroupId &group, std::uint64_t leaseNumber,
                                 std::uint64_t number, MonotonicTime now) -> bool
{
    auto *held = findHeldGroup(group, leaseNumber);
    if (held == nullptr)
        return false;
    const auto permit = held->permits_.find(number);
    if (permit == held->permits_.end()) {
        addUnaccounted(*held, now);
        return false;
    }
    if (!permit->second.startedAt_)
        permit->second.startedAt_ = now;
    return true;
}

auto PermitTable::requestEnded(const GroupId &group, std::uint64_t leaseNumber,
                               std::uint64_t number, PermitOutcome outcome, Duration latency,
                               MonotonicTime now) -> void
{
    auto *held = findHeldGroup(group, leaseNumber);
    if (held == nullptr || held->permits_.erase(number) == 0)
        return;
    switch (outcome) {
    case PermitOutcome::Completed:
        if (held->ramp_.recordCompletion(latency))
            recallUnstarted(*held);
        break;
    case PermitOutcome::Overloaded:
        held->ramp_.recordOverload(inUse(*held) + 1);
        recallUnstarted(*held);
        break;
    case PermitOutcome::Unknown:
        addUnaccounted(*held, now);
        break;
    case PermitOutcome::Failed:
    case PermitOutcome::NotStarted:
        break;
    }
}

auto PermitTable::handleAnnouncement(const Announcement &announcement, MonotonicTime now) -> void
{
    const auto group = groupOf_.find(announcement.upstream_);
    if (group == groupOf_.end())
        return;
    auto &held = heldGroups_.at(group->second);
    auto &member = held.members_[announcement.upstream_];
    const auto isRestarted = announcement.incarnation_ != member.incarnation_;
    const auto turnedCold = announcement.cold_ && !member.cold_;
    member = Member{announcement.incarnation_, announcement.cold_, announcement.carries_};
    if (isRestarted || turnedCold) {
        restartRamp(held);
        recallUnstarted(held);
    }
    if (announcement.upstream_ == held.group_.members_.front())
        reconcile(held, announcement.running_ + announcement.queued_, now);
}

auto PermitTable::reconcile(HeldGroup &held, std::uint32_t activeRequests, MonotonicTime now)
    -> void
{
    if (now < held.countsReliableFrom_)
        return;
    const auto startedCount = startedBefore(held, now - maxReportLag(held.policy_));
    dropWithoutNotice(held, startedCount > activeRequests ? startedCount - activeRequests : 0, now);
    const auto excess = activeRequests > startedCount ? activeRequests - startedCount : 0;
    if (!held.isTakingOver_) {
        held.unaccounted_ = std::min(held.unaccounted_, excess);
        return;
    }
    held.isTakingOver_ = false;
    held.unaccounted_ = excess;
    if (!isCold(held))
        held.ramp_.raiseTo(excess);
}

auto PermitTable::startedBefore(const HeldGroup &held, MonotonicTime time) -> std::uint32_t
{
    const auto isOlder = [&](const auto &item) {
        return item.second.startedAt_ && *item.second.startedAt_ <= time;
    };
    return static_cast<std::uint32_t>(
        std::count_if(held.permits_.begin(), held.permits_.end(), isOlder));
}

auto PermitTable::dropWithoutNotice(HeldGroup &held, std::uint32_t missingEnds, MonotonicTime now)
    -> void
{
    if (missingEnds == 0) {
        held.endsMissingSince_.reset();
        return;
    }
    if (!held.endsMissingSince_) {
        held.endsMissingSince_ = now;
        held.missingEnds_ = missingEnds;
    }
    held.missingEnds_ = std::min(held.missingEnds_, missingEnds);
    if (now - *held.endsMissingSince_ < endNoticeTimeout)
        return;
    held.endsMissingSince_.reset();
    auto remaining = held.missingEnds_;
    std::erase_if(held.permits_, [&](const auto &item) {
        const auto isDropped = remaining > 0 && item.second.startedAt_.has_value();
        remaining -= isDropped ? 1 : 0;
        return isDropped;
    });
}

auto PermitTable::dropExpiredPermits(MonotonicTime now) -> void
{
    for (auto &[id, held] : heldGroups_) {
        const auto life = permitTtl(held.policy_) + maxNoticeDelay;
        std::erase_if(held.permits_, [&](const auto &item) {
            return !item.second.startedAt_ && now - item.second.grantedAt_ > life;
        });
    }
}

auto PermitTable::takeRecalls() -> std::vector<PermitRecall>
{
    return std::exchange(recalls_, {});
}

auto PermitTable::loads() const -> std::vector<GroupLoad>
{
    auto loads = std::vector<GroupLoad>{};
    for (const auto &[id, held] : heldGroups_) {
        const auto isOpen = held.isServing_ && held.group_.phase_ == GroupPhase::Serving
            && !held.isDraining_ && !held.isTakingOver_;
        loads.push_back({id, held.group_.leaseNumber_, inUse(held), isOpen ? permitLimit(held) : 0,
                         isCold(held) || !held.ramp_.isWarm()});
    }
    return loads;
}

auto PermitTable::isIdle(const GroupId &group) const -> bool
{
    const auto held = heldGroups_.find(group);
    return held != heldGroups_.end() && !held->second.isTakingOver_ && inUse(held->second) == 0;
}

auto PermitTable::recallUnstarted(HeldGroup &held) -> void
{
    for (auto &[number, permit] : held.permits_) {
        if (permit.startedAt_ || permit.isRecalled_)
            continue;
        permit.isRecalled_ = true;
        recalls_.push_back({permit.entry_, makePermit(held, number)});
    }
}

auto PermitTable::permitLimit(const HeldGroup &held) const -> std::uint32_t
{
    const auto &policy = held.policy_;
    const auto policyLimit = isCold(held) ? policy.coldLimit_ : policy.warmLimit_;
    auto allowed = announcedCapacity(held).value_or(policyLimit);
    if (!held.ramp_.isWarm())
        allowed = std::min(allowed, held.ramp_.limit());
    const auto factor = slowdownFactor(held);
    if (factor <= maxSlowdownFactor || allowed <= 1)
        return allowed;
    return std::max(1U, static_cast<std::uint32_t>(allowed / factor));
}

auto PermitTable::slowdownFactor(const HeldGroup &held) const -> double
{
    auto peerLatencies = std::vector<Duration>{};
    for (const auto &[id, other] : heldGroups_) {
        const auto isPeer = id != held.group_.id_ && other.group_.pool_ == held.group_.pool_;
        if (isPeer && other.ramp_.baselineLatency() > Duration::zero())
            peerLatencies.push_back(other.ramp_.baselineLatency());
    }
    if (peerLatencies.empty())
        return 1.0;
    const auto median
        = peerLatencies.begin() + static_cast<std::ptrdiff_t>(peerLatencies.size() / 2);
    std::nth_element(peerLatencies.begin(), median, peerLatencies.end());
    return static_cast<double>(held.ramp_.recentLatency().count())
        / static_cast<double>(median->count());
}

auto PermitTable::findHeldGroup(const GroupId &group, std::uint64_t leaseNumber) -> HeldGroup *
{
    const auto held = heldGroups_.find(group);
    if (held == heldGroups_.end() || held->second.group_.leaseNumber_ != leaseNumber)
        return nullptr;
    return &held->second;
}

auto PermitTable::makePermit(const HeldGroup &held, std::uint64_t number) const -> Permit
{
    return Permit{held.group_.id_, held.group_.epoch_, held.group_.leaseNumber_, number,
                  held.policy_.permitTtlMs_};
}

auto PermitTable::inUse(const HeldGroup &held) -> std::uint32_t
{
    return static_cast<std::uint32_t>(held.permits_.size()) + held.unaccounted_;
}

auto PermitTable::isCold(const HeldGroup &held) -> bool
{
    const auto first = held.members_.find(held.group_.members_.front());
    return first == held.members_.end() || first->second.cold_;
}

auto PermitTable::announcedCapacity(const HeldGroup &held) -> std::optional<std::uint32_t>
{
    auto least = std::optional<std::uint32_t>{};
    for (const auto &[id, member] : held.members_) {
        if (member.capacity_ && (!least || *member.capacity_ < *least))
            least = member.capacity_;
    }
    return least;
}

auto PermitTable::restartRamp(HeldGroup &held) -> void
{
    held.ramp_.restart();
    if (announcedCapacity(held))
        held.ramp_.skipToWarm();
}

auto PermitTable::addUnaccounted(HeldGroup &held, MonotonicTime now) -> void
{
    ++held.unaccounted_;
    const auto countsReliableFrom
        = now + permitTtl(held.policy_) + maxNoticeDelay + maxReportLag(held.policy_);
    held.countsReliableFrom_ = std::max(held.countsReliableFrom_, countsReliableFrom);
}

} // namespace lycheereach
