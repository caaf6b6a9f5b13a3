#include "forward/TargetTable.h"

#include "forward/ColdRateShare.h"
#include "requests/Rendezvous.h"
#include "state/FleetState.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// For this long an upstream that failed a request is chosen only when there is no other.
constexpr auto failureHoldOff = std::chrono::milliseconds(500);
/// For this time an unavailable upstream is not chosen; the control processes detect its loss
/// sooner and its removal from the state takes it out of the table.
constexpr auto unavailableHoldOff = std::chrono::milliseconds(500);
/// A group without an event on any stream for this long is stalled: streams in progress emit an
/// event in every step of their engine.
constexpr auto stallTimeout = std::chrono::milliseconds(300);
/// As stallTimeout, before the members of the group are probed; shorter, since a probe does no
/// harm.
constexpr auto suspectTimeout = std::chrono::milliseconds(200);
/// How long after notifyOnNextProgress() progress is still reported.
constexpr auto progressReportTimeout = std::chrono::milliseconds(600);
/// As stallTimeout, while no stream has begun and all requests may be queued for a slot.
constexpr auto firstEventStallTimeout = std::chrono::milliseconds(900);
/// For this long a stalled group is chosen only when there is no other.
constexpr auto stallHoldOff = std::chrono::milliseconds(1000);
/// Time between two reports of the same stalled or suspect group.
constexpr auto stallReportInterval = std::chrono::milliseconds(300);
/// For this long a reported load counts in the selection cost.
constexpr auto costReportLifetime = std::chrono::milliseconds(400);
/// As costReportLifetime, when deciding whether an upstream is full.
constexpr auto capacityReportLifetime = std::chrono::milliseconds(1000);
/// Selection cost of an upstream in another zone, in requests in progress.
constexpr auto crossZoneCost = 0.5;

auto isGroupOpen(const FleetState &state, const Group &group) -> bool
{
    if (group.phase_ != GroupPhase::Serving || group.members_.empty())
        return false;
    const auto firstMember = state.upstreams_.find(group.members_.front());
    return firstMember != state.upstreams_.end()
        && firstMember->second.announced_.phase_ == MemberPhase::Open
        && mayTakeWork(firstMember->second) && memberAgrees(group, firstMember->second);
}

} // namespace

TargetTable::TargetTable(EntryId self, ZoneName zone, RandomSource random)
    : self_(std::move(self))
    , zone_(std::move(zone))
    , random_(std::move(random))
    , mutex_(LockRank::Targets)
    , entries_{self_}
{ }

auto TargetTable::update(const FleetState &state) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    auto entries = std::set<EntryId>{self_};
    for (const auto &[id, entry] : state.entries_) {
        if (!entry.control_ && entry.phase_ != EntryPhase::Lost)
            entries.insert(id);
    }
    entries_.assign(entries.begin(), entries.end());
    auto targets = std::map<PoolName, std::map<UpstreamId, TargetState>>{};
    for (const auto &[id, group] : state.groups_) {
        if (isGroupOpen(state, group))
            add(state, group.pool_, group.members_.front(), targets);
    }
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto isPlain = upstream.announced_.kind_ == UpstreamKind::Service;
        if (isPlain && mayTakeWork(upstream))
            add(state, upstream.announced_.pool_, id, targets);
    }
    targets_ = std::move(targets);
}

auto TargetTable::add(const FleetState &state, const PoolName &pool, const UpstreamId &upstream,
                      std::map<PoolName, std::map<UpstreamId, TargetState>> &targets) const -> void
{
    const auto &announced = state.upstreams_.at(upstream).announced_;
    if (isZoneOut(state, announced.zone_))
        return;
    auto added = TargetState{};
    added.target_ = ForwardTarget{upstream, announced.incarnation_, announced.address_, pool,
                                  announced.zone_};
    if (const auto pools = targets_.find(pool); pools != targets_.end()) {
        const auto known = pools->second.find(upstream);
        if (known != pools->second.end() && known->second.target_ == added.target_)
            added = known->second;
    }
    const auto *profile = findProfile(state.declaration_, announced.pool_);
    added.isEngine_ = announced.kind_ == UpstreamKind::Engine;
    added.slots_ = profile == nullptr ? 0 : profile->slots_;
    const auto isLimited = announced.cold_ && profile != nullptr && profile->coldPerSecond_ > 0;
    added.coldRateLimit_ = isLimited
        ? std::optional(coldRateShare(profile->coldPerSecond_, upstream, entries_, self_))
        : std::nullopt;
    targets[pool].emplace(upstream, std::move(added));
}

auto TargetTable::estimatedLoad(const TargetState &target, MonotonicTime now) const -> double
{
    const auto own = static_cast<double>(target.inFlight_);
    if (!target.load_ || now - target.loadAt_ >= capacityReportLifetime)
        return own * static_cast<double>(entries_.size());
    const auto reported = static_cast<double>(target.load_->running_ + target.load_->waiting_);
    return std::max(own, reported + target.netSinceLoad_);
}

auto TargetTable::selectionCost(const TargetState &target, MonotonicTime now) const -> double
{
    auto load = static_cast<double>(target.inFlight_);
    if (target.load_ && now - target.loadAt_ < costReportLifetime) {
        const auto reportedLoad
            = static_cast<double>(target.load_->running_ + target.load_->waiting_);
        load = std::max(load, reportedLoad / static_cast<double>(entries_.size()));
    }
    return load + (target.target_.zone_ == zone_ ? 0 : crossZoneCost);
}

auto TargetTable::hasCapacity(const TargetState &target, const AdmissionLimit &admission,
                              MonotonicTime now) const -> bool
{
    const auto isKnown = target.isEngine_ && target.slots_ != 0;
    return !isKnown
        || estimatedLoad(target, now) < admission.maxFill_ * target.slots_ + admission.maxWaiting_;
}

auto TargetTable::isWithinColdLimit(TargetState &target, MonotonicTime now) -> bool
{
    if (!target.coldRateLimit_)
        return true;
    auto &starts = target.coldSentAt_;
    while (!starts.empty() && now - starts.front() > std::chrono::seconds(1))
        starts.pop_front();
    return starts.size() < *target.coldRateLimit_;
}

auto TargetTable::choose(const PoolName &pool, const std::set<UpstreamId> &avoid,
                         const AdmissionLimit &admission, MonotonicTime now)
    -> std::optional<ForwardTarget>
{
    const auto lock = std::scoped_lock(mutex_);
    return reserveBest(pool, avoid, admission, now, [](const TargetState &) { return true; });
}

auto TargetTable::chooseAlternative(const ForwardTarget &target, const AdmissionLimit &admission,
                                    MonotonicTime now) -> std::optional<ForwardTarget>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto isUsable = [&](const TargetState &other) {
        return other.target_.upstream_ != target.upstream_
            && now - other.stalledAt_ >= stallHoldOff;
    };
    return reserveBest(target.pool_, {}, admission, now, isUsable);
}

auto TargetTable::reserveBest(const PoolName &pool, const std::set<UpstreamId> &avoid,
                              const AdmissionLimit &admission, MonotonicTime now,
                              const std::function<bool(const TargetState &)> &isUsable)
    -> std::optional<ForwardTarget>
{
    const auto found = targets_.find(pool);
    if (found == targets_.end())
        return std::nullopt;
    TargetState *best = nullptr;
    auto bestRank = std::tuple<bool, bool, double, std::uint64_t>{};
    for (auto &[id, target] : found->second) {
        if (now < target.unavailableUntil_ || !isUsable(target) || !isWithinColdLimit(target, now)
            || !hasCapacity(target, admission, now))
            continue;
        const auto rank = std::tuple(avoid.contains(id), now < target.deprioritizedUntil_,
                                     selectionCost(target, now), random_());
        if (best == nullptr || rank < bestRank) {
            best = &target;
            bestRank = rank;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return reserve(*best, now);
}

auto TargetTable::reserve(TargetState &target, MonotonicTime now) -> ForwardTarget
{
    ++target.netSinceLoad_;
    if (target.inFlight_++ == 0) {
        target.progressAt_ = now;
        target.hasProgressed_ = false;
    }
    if (target.coldRateLimit_)
        target.coldSentAt_.push_back(now);
    return target.target_;
}

auto TargetTable::chooseIsolated(const PoolName &pool, const std::set<UpstreamId> &avoid,
                                 const AdmissionLimit &admission, const std::string &suspect,
                                 MonotonicTime now) -> std::optional<ForwardTarget>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = targets_.find(pool);
    if (found == targets_.end())
        return std::nullopt;
    auto names = std::vector<std::string>{};
    for (auto &[id, target] : found->second) {
        const auto isUsable = now >= target.unavailableUntil_ && !avoid.contains(id)
            && isWithinColdLimit(target, now) && hasCapacity(target, admission, now);
        if (isUsable)
            names.push_back(id.text());
    }
    const auto index = rendezvousPick(suspect, names);
    if (!index)
        return std::nullopt;
    return reserve(found->second.at(UpstreamId(names[*index])), now);
}

auto TargetTable::release(const ForwardTarget &target, TargetOutcome outcome, MonotonicTime now)
    -> void
{
    const auto lock = std::scoped_lock(mutex_);
    auto *known = find(target);
    if (known == nullptr)
        return;
    --known->netSinceLoad_;
    if (known->inFlight_ > 0)
        --known->inFlight_;
    if (outcome == TargetOutcome::Unused && known->coldRateLimit_ && !known->coldSentAt_.empty())
        known->coldSentAt_.pop_back();
    if (outcome == TargetOutcome::Failed)
        known->deprioritizedUntil_ = std::max(known->deprioritizedUntil_, now + failureHoldOff);
    if (outcome == TargetOutcome::Unavailable)
        known->unavailableUntil_ = now + unavailableHoldOff;
}

auto TargetTable::find(const ForwardTarget &target) -> TargetState *
{
    const auto pool = targets_.find(target.pool_);
    if (pool == targets_.end())
        return nullptr;
    const auto found = pool->second.find(target.upstream_);
    const auto isSame = found != pool->second.end() && found->second.target_ == target;
    return isSame ? &found->second : nullptr;
}

auto TargetTable::recordProgress(const ForwardTarget &target, MonotonicTime now) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    auto *known = find(target);
    if (known == nullptr)
        return false;
    known->progressAt_ = now;
    known->hasProgressed_ = true;
    known->servedAt_ = now;
    return now < std::exchange(known->progressAwaitedUntil_, MonotonicTime{});
}

auto TargetTable::notifyOnNextProgress(const UpstreamId &upstream, MonotonicTime now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    for (auto &[pool, targets] : targets_) {
        if (const auto found = targets.find(upstream); found != targets.end())
            found->second.progressAwaitedUntil_ = now + progressReportTimeout;
    }
}

auto TargetTable::isSilent(const TargetState &target, Duration stallLimit, MonotonicTime now)
    -> bool
{
    const auto limit = target.hasProgressed_ ? stallLimit : Duration(firstEventStallTimeout);
    return target.isEngine_ && target.inFlight_ > 0 && now - target.progressAt_ >= limit;
}

auto TargetTable::collectSuspects(MonotonicTime now) -> std::vector<ForwardTarget>
{
    const auto lock = std::scoped_lock(mutex_);
    auto suspects = std::vector<ForwardTarget>{};
    for (auto &[pool, targets] : targets_) {
        for (auto &[id, target] : targets) {
            if (!isSilent(target, suspectTimeout, now)
                || now - target.suspectedAt_ < stallReportInterval)
                continue;
            target.suspectedAt_ = now;
            suspects.push_back(target.target_);
        }
    }
    return suspects;
}

auto TargetTable::timeSinceProgress(const UpstreamId &upstream, MonotonicTime now) const
    -> std::optional<Duration>
{
    const auto lock = std::scoped_lock(mutex_);
    for (const auto &[pool, targets] : targets_) {
        const auto found = targets.find(upstream);
        if (found == targets.end() || !found->second.servedAt_)
            continue;
        return now - *found->second.servedAt_;
    }
    return std::nullopt;
}

auto TargetTable::collectStalled(MonotonicTime now) -> std::vector<ForwardTarget>
{
    const auto lock = std::scoped_lock(mutex_);
    auto stalled = std::vector<ForwardTarget>{};
    for (auto &[pool, targets] : targets_) {
        for (auto &[id, target] : targets) {
            if (!isSilent(target, stallTimeout, now)
                || now - target.stalledAt_ < stallReportInterval)
                continue;
            target.stalledAt_ = now;
            target.deprioritizedUntil_ = now + stallHoldOff;
            stalled.push_back(target.target_);
        }
    }
    return stalled;
}

auto TargetTable::recordLoad(const ForwardTarget &target, const ReportedLoad &load,
                             MonotonicTime now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    auto *known = find(target);
    if (known == nullptr)
        return;
    known->load_ = load;
    known->netSinceLoad_ = 0;
    known->loadAt_ = now;
}

auto TargetTable::entryCount() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return entries_.size();
}

auto TargetTable::hasTarget(const PoolName &pool) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return targets_.contains(pool);
}

} // namespace lycheereach
