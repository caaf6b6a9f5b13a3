#include "routing/PermitTable.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// How long the news that a request was started may take.
constexpr auto deliveryMargin = std::chrono::milliseconds(250);
/// Announcements that a report may lag behind what runs.
constexpr auto reportLag = 2;
/// Times that a group may be slower than its peers before it gets less.
constexpr auto toleratedSlowness = 2.0;

/// How long the news that a request ended may take.
constexpr auto unheardEndTimeout = std::chrono::seconds(5);

constexpr auto notHeldRetryMs = 50U;
constexpr auto notServingRetryMs = 500U;
constexpr auto drainingRetryMs = 1000U;
constexpr auto leastRetryMs = 20;
constexpr auto mostRetryMs = 1000;

auto ttlOf(const Policy &policy) -> Duration
{
    return std::chrono::milliseconds(policy.permitTtlMs_);
}

auto lagOf(const Policy &policy) -> Duration
{
    return std::chrono::milliseconds(policy.announceEveryMs_ * reportLag);
}

auto mustDrain(const FleetState &state, const Group &group) -> bool
{
    if (group.phase_ == GroupPhase::Draining || isZoneOut(state, group.zone_))
        return true;
    const auto leaves = [&](const UpstreamId &member) {
        const auto found = state.upstreams_.find(member);
        if (found == state.upstreams_.end())
            return true;
        const auto &upstream = found->second;
        return isWithdrawn(upstream) || isZoneOut(state, upstream.announced_.zone_);
    };
    return std::any_of(group.members_.begin(), group.members_.end(), leaves);
}

auto clampRetry(std::int64_t milliseconds) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(milliseconds, leastRetryMs, mostRetryMs));
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
    std::erase_if(held_, [&](const auto &item) {
        const auto group = state.groups_.find(item.first);
        return group == state.groups_.end() || group->second.leaseholder_ != self_
            || group->second.leaseNumber_ != item.second.group_.leaseNumber_;
    });
    groupOf_.clear();
    for (const auto &[id, group] : state.groups_) {
        if (group.leaseholder_ != self_)
            continue;
        if (!held_.contains(id))
            adopt(state, group, now);
        refresh(state, held_.at(id), group, now);
        for (const auto &member : group.members_)
            groupOf_.emplace(member, id);
    }
}

auto PermitTable::adopt(const FleetState &state, const Group &group, MonotonicTime now) -> void
{
    auto &held = held_[group.id_];
    held.isTakingOver_ = group.leaseNumber_ > 1;
    held.policy_ = policyFor(state.declaration_, group.zone_, group.pool_, group.members_.front());
    held.settledAt_ = now;
    if (held.isTakingOver_)
        held.settledAt_ += ttlOf(held.policy_) + deliveryMargin + lagOf(held.policy_);
}

auto PermitTable::refresh(const FleetState &state, Held &held, const Group &group,
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
    dropLostEntries(state, held, now);
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
    std::erase_if(held.uses_, [](const auto &item) { return !item.second.startedAt_; });
    restartRamp(held);
}

auto PermitTable::dropLostEntries(const FleetState &state, Held &held, MonotonicTime now) -> void
{
    for (auto use = held.uses_.begin(); use != held.uses_.end();) {
        const auto entry = state.entries_.find(use->second.entry_);
        const auto isSame = entry != state.entries_.end()
            && entry->second.phase_ != EntryPhase::Lost
            && entry->second.incarnation_ == use->second.incarnation_;
        if (isSame) {
            ++use;
            continue;
        }
        addUnaccounted(held, now);
        use = held.uses_.erase(use);
    }
}

auto PermitTable::setServing(const GroupId &group, bool serving) -> void
{
    const auto held = held_.find(group);
    if (held == held_.end())
        return;
    held->second.isServing_ = serving;
    if (!serving)
        recallUnstarted(held->second);
}

auto PermitTable::take(const GroupId &group, const EntryId &entry, const AttemptId &attempt,
                       MonotonicTime now) -> std::variant<Permit, PermitRefusal>
{
    const auto found = held_.find(group);
    const auto taker = entries_.find(entry);
    if (found == held_.end() || taker == entries_.end())
        return PermitRefusal{RefusalReason::NotHeld, notHeldRetryMs};
    auto &held = found->second;
    for (auto &[number, use] : held.uses_) {
        const auto isSame = use.attempt_ == attempt && use.entry_ == entry
            && use.epoch_ == held.group_.epoch_ && !use.startedAt_ && !use.isRecalled_;
        if (!isSame)
            continue;
        use.grantedAt_ = now;
        return permitOf(held, number);
    }
    if (const auto refused = refusal(held, now))
        return *refused;
    const auto number = ++held.lastNumber_;
    held.uses_[number]
        = Use{entry, taker->second, attempt, held.group_.epoch_, now, std::nullopt, false};
    return permitOf(held, number);
}

auto PermitTable::refusal(const Held &held, MonotonicTime now) const -> std::optional<PermitRefusal>
{
    if (held.isDraining_)
        return PermitRefusal{RefusalReason::Draining, drainingRetryMs};
    if (!held.isServing_ || held.group_.phase_ != GroupPhase::Serving)
        return PermitRefusal{RefusalReason::NotServing, notServingRetryMs};
    if (held.isTakingOver_) {
        const auto wait = toMilliseconds(held.settledAt_ - now);
        return PermitRefusal{RefusalReason::TakingOver, clampRetry(wait)};
    }
    const auto allowed = limit(held);
    if (inUse(held) < allowed)
        return std::nullopt;
    const auto wait = toMilliseconds(held.ramp_.recentLatency()) / std::max(allowed, 1U);
    return PermitRefusal{RefusalReason::Full, clampRetry(wait)};
}

auto PermitTable::started(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                          MonotonicTime now) -> bool
{
    auto *held = find(group, leaseNumber);
    if (held == nullptr)
        return false;
    const auto use = held->uses_.find(number);
    if (use == held->uses_.end()) {
        addUnaccounted(*held, now);
        return false;
    }
    if (!use->second.startedAt_)
        use->second.startedAt_ = now;
    return true;
}

auto PermitTable::finished(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                           PermitOutcome outcome, Duration latency, MonotonicTime now) -> void
{
    auto *held = find(group, leaseNumber);
    if (held == nullptr || held->uses_.erase(number) == 0)
        return;
    switch (outcome) {
    case PermitOutcome::Completed:
        if (held->ramp_.completed(latency))
            recallUnstarted(*held);
        break;
    case PermitOutcome::Overloaded:
        held->ramp_.overloaded(inUse(*held) + 1);
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

auto PermitTable::report(const Announcement &announcement, MonotonicTime now) -> void
{
    const auto group = groupOf_.find(announcement.upstream_);
    if (group == groupOf_.end())
        return;
    auto &held = held_.at(group->second);
    auto &member = held.members_[announcement.upstream_];
    const auto isRestarted = announcement.incarnation_ != member.incarnation_;
    const auto turnedCold = announcement.cold_ && !member.cold_;
    member = Member{announcement.incarnation_, announcement.cold_, announcement.carries_};
    if (isRestarted || turnedCold) {
        restartRamp(held);
        recallUnstarted(held);
    }
    if (announcement.upstream_ == held.group_.members_.front())
        settle(held, announcement.running_ + announcement.queued_, now);
}

auto PermitTable::settle(Held &held, std::uint32_t active, MonotonicTime now) -> void
{
    if (now < held.settledAt_)
        return;
    const auto known = startedBefore(held, now - lagOf(held.policy_));
    dropEnded(held, known > active ? known - active : 0, now);
    const auto unknown = active > known ? active - known : 0;
    if (!held.isTakingOver_) {
        held.unaccounted_ = std::min(held.unaccounted_, unknown);
        return;
    }
    held.isTakingOver_ = false;
    held.unaccounted_ = unknown;
    if (!isCold(held))
        held.ramp_.raiseTo(unknown);
}

auto PermitTable::startedBefore(const Held &held, MonotonicTime time) -> std::uint32_t
{
    const auto isOlder = [&](const auto &item) {
        return item.second.startedAt_ && *item.second.startedAt_ <= time;
    };
    return static_cast<std::uint32_t>(std::count_if(held.uses_.begin(), held.uses_.end(), isOlder));
}

auto PermitTable::dropEnded(Held &held, std::uint32_t ended, MonotonicTime now) -> void
{
    if (ended == 0) {
        held.unheardSince_.reset();
        return;
    }
    if (!held.unheardSince_) {
        held.unheardSince_ = now;
        held.unheardEnds_ = ended;
    }
    held.unheardEnds_ = std::min(held.unheardEnds_, ended);
    if (now - *held.unheardSince_ < unheardEndTimeout)
        return;
    held.unheardSince_.reset();
    auto left = held.unheardEnds_;
    std::erase_if(held.uses_, [&](const auto &item) {
        const auto drops = left > 0 && item.second.startedAt_.has_value();
        left -= drops ? 1 : 0;
        return drops;
    });
}

auto PermitTable::tick(MonotonicTime now) -> void
{
    for (auto &[id, held] : held_) {
        const auto life = ttlOf(held.policy_) + deliveryMargin;
        std::erase_if(held.uses_, [&](const auto &item) {
            return !item.second.startedAt_ && now - item.second.grantedAt_ > life;
        });
    }
}

auto PermitTable::recalled() -> std::vector<PermitRecall>
{
    return std::exchange(recalled_, {});
}

auto PermitTable::loads() const -> std::vector<TargetLoad>
{
    auto loads = std::vector<TargetLoad>{};
    for (const auto &[id, held] : held_) {
        const auto isOpen = held.isServing_ && held.group_.phase_ == GroupPhase::Serving
            && !held.isDraining_ && !held.isTakingOver_;
        loads.push_back({id, held.group_.leaseNumber_, inUse(held), isOpen ? limit(held) : 0,
                         isCold(held) || !held.ramp_.isWarm()});
    }
    return loads;
}

auto PermitTable::isIdle(const GroupId &group) const -> bool
{
    const auto held = held_.find(group);
    return held != held_.end() && !held->second.isTakingOver_ && inUse(held->second) == 0;
}

auto PermitTable::recallUnstarted(Held &held) -> void
{
    for (auto &[number, use] : held.uses_) {
        if (use.startedAt_ || use.isRecalled_)
            continue;
        use.isRecalled_ = true;
        recalled_.push_back({use.entry_, permitOf(held, number)});
    }
}

auto PermitTable::limit(const Held &held) const -> std::uint32_t
{
    const auto &policy = held.policy_;
    const auto usual = isCold(held) ? policy.coldLimit_ : policy.warmLimit_;
    auto allowed = carries(held).value_or(usual);
    if (!held.ramp_.isWarm())
        allowed = std::min(allowed, held.ramp_.limit());
    const auto factor = slowness(held);
    if (factor <= toleratedSlowness || allowed <= 1)
        return allowed;
    return std::max(1U, static_cast<std::uint32_t>(allowed / factor));
}

auto PermitTable::slowness(const Held &held) const -> double
{
    auto others = std::vector<Duration>{};
    for (const auto &[id, other] : held_) {
        const auto isPeer = id != held.group_.id_ && other.group_.pool_ == held.group_.pool_;
        if (isPeer && other.ramp_.usualLatency() > Duration::zero())
            others.push_back(other.ramp_.usualLatency());
    }
    if (others.empty())
        return 1.0;
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), middle, others.end());
    return static_cast<double>(held.ramp_.recentLatency().count())
        / static_cast<double>(middle->count());
}

auto PermitTable::find(const GroupId &group, std::uint64_t leaseNumber) -> Held *
{
    const auto held = held_.find(group);
    if (held == held_.end() || held->second.group_.leaseNumber_ != leaseNumber)
        return nullptr;
    return &held->second;
}

auto PermitTable::permitOf(const Held &held, std::uint64_t number) const -> Permit
{
    return Permit{held.group_.id_, held.group_.epoch_, held.group_.leaseNumber_, number,
                  held.policy_.permitTtlMs_};
}

auto PermitTable::inUse(const Held &held) -> std::uint32_t
{
    return static_cast<std::uint32_t>(held.uses_.size()) + held.unaccounted_;
}

auto PermitTable::isCold(const Held &held) -> bool
{
    const auto first = held.members_.find(held.group_.members_.front());
    return first == held.members_.end() || first->second.cold_;
}

auto PermitTable::carries(const Held &held) -> std::optional<std::uint32_t>
{
    auto least = std::optional<std::uint32_t>{};
    for (const auto &[id, member] : held.members_) {
        if (member.carries_ && (!least || *member.carries_ < *least))
            least = member.carries_;
    }
    return least;
}

auto PermitTable::restartRamp(Held &held) -> void
{
    held.ramp_.restart();
    if (carries(held))
        held.ramp_.skip();
}

auto PermitTable::addUnaccounted(Held &held, MonotonicTime now) -> void
{
    ++held.unaccounted_;
    const auto settledAt = now + ttlOf(held.policy_) + deliveryMargin + lagOf(held.policy_);
    held.settledAt_ = std::max(held.settledAt_, settledAt);
}

} // namespace lycheereach
