#include "routing/GroupChooser.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// Cost added to a group of another zone, as a fraction of its limit.
constexpr auto crossZoneCost = 0.15;
/// How much more a group may cost than the cheapest one to be chosen for its cached prefix, as a
/// fraction of its limit.
constexpr auto maxExtraCostForPrefix = 0.25;
/// The fraction of a limit that requests of low priority leave free.
constexpr auto reservedFraction = 0.1;
/// Requests of lower priority leave the reserved fraction free.
constexpr auto minReservePriority = 5U;

auto mayGetRequests(const FleetState &state, const Group &group) -> bool
{
    if (group.phase_ != GroupPhase::Serving || group.leaseholder_.empty())
        return false;
    const auto holder = state.entries_.find(group.leaseholder_);
    if (holder == state.entries_.end() || holder->second.phase_ == EntryPhase::Lost)
        return false;
    if (isZoneOut(state, group.zone_))
        return false;
    const auto isUsable = [&](const UpstreamId &member) {
        const auto found = state.upstreams_.find(member);
        if (found == state.upstreams_.end())
            return false;
        const auto &upstream = found->second;
        return mayTakeWork(upstream) && !isZoneOut(state, upstream.announced_.zone_);
    };
    return std::all_of(group.members_.begin(), group.members_.end(), isUsable);
}

auto choiceFor(const FleetState &state, const Group &group) -> GroupChoice
{
    const auto &first = group.members_.front();
    const auto &address = state.upstreams_.at(first).announced_.address_;
    return GroupChoice{
        group.id_, group.epoch_, group.leaseholder_, group.leaseNumber_, first, address, 0};
}

} // namespace

GroupChooser::GroupChooser(ZoneName ownZone, RandomSource random)
    : ownZone_(std::move(ownZone))
    , random_(std::move(random))
{ }

auto GroupChooser::update(const FleetState &state) -> void
{
    const auto previousTargets = std::move(targets_);
    targets_.clear();
    const auto previousPools = std::move(poolOf_);
    poolOf_.clear();
    for (const auto &[id, group] : state.groups_) {
        if (!mayGetRequests(state, group))
            continue;
        auto next = Target{choiceFor(state, group), group.zone_ == ownZone_, 0, 0, 0};
        const auto pool = previousPools.find(id);
        if (pool != previousPools.end()) {
            const auto &known = previousTargets.at(pool->second).at(id);
            if (known.choice_ == next.choice_)
                next = known;
        }
        targets_[group.pool_].emplace(id, next);
        poolOf_[id] = group.pool_;
    }
}

auto GroupChooser::updateLoad(const GroupLoad &load) -> void
{
    auto *found = target(load.group_);
    if (found == nullptr || load.leaseNumber_ != found->choice_.leaseNumber_)
        return;
    found->limit_ = load.limit_;
    found->inUse_ = load.inUse_;
    found->pendingPermits_ = 0;
    found->hasReport_ = true;
}

auto GroupChooser::permitRequested(const GroupId &group) -> void
{
    if (auto *found = target(group))
        ++found->pendingPermits_;
}

auto GroupChooser::permitEnded(const GroupId &group) -> void
{
    if (auto *found = target(group))
        --found->pendingPermits_;
}

auto GroupChooser::setEjected(const GroupId &group, bool ejected) -> void
{
    if (auto *found = target(group))
        found->isEjected_ = ejected;
}

auto GroupChooser::choose(const GroupChoiceRequest &request, const PrefixIndex &index) const
    -> std::optional<GroupChoice>
{
    const auto pool = targets_.find(request.pool_);
    if (pool == targets_.end())
        return std::nullopt;
    auto candidates = std::vector<Candidate>{};
    for (const auto &[id, target] : pool->second) {
        if (!hasCapacity(target, request.priority_) || request.excludedGroups_.contains(id))
            continue;
        const auto cost = loadWithOneMore(target) + (target.isSameZone_ ? 0.0 : crossZoneCost);
        candidates.push_back({cost, 0, random_(), &target});
    }
    if (candidates.empty())
        return std::nullopt;
    const auto *best = bestCandidate(candidates, request.prefix_, index);
    auto choice = best->target_->choice_;
    choice.matchedBlocks_ = best->matchedBlocks_;
    return choice;
}

auto GroupChooser::bestCandidate(std::vector<Candidate> &candidates, const PrefixChain &prefix,
                                 const PrefixIndex &index) -> const Candidate *
{
    const auto byCost = [](const Candidate &left, const Candidate &right) {
        return std::pair(left.cost_, left.tieBreak_) < std::pair(right.cost_, right.tieBreak_);
    };
    const auto *cheapest = &*std::min_element(candidates.begin(), candidates.end(), byCost);
    if (prefix.empty())
        return cheapest;
    const auto matched = index.match(prefix);
    const auto *best = cheapest;
    for (auto &candidate : candidates) {
        const auto found = matched.find(candidate.target_->choice_.group_);
        if (found == matched.end())
            continue;
        candidate.matchedBlocks_ = found->second;
        if (candidate.cost_ > cheapest->cost_ + maxExtraCostForPrefix)
            continue;
        const auto isLonger = candidate.matchedBlocks_ > best->matchedBlocks_;
        if (isLonger
            || (candidate.matchedBlocks_ == best->matchedBlocks_ && byCost(candidate, *best)))
            best = &candidate;
    }
    return best;
}

auto GroupChooser::chooseGroup(const GroupId &group, std::uint32_t priority) const
    -> std::optional<GroupChoice>
{
    const auto pool = poolOf_.find(group);
    if (pool == poolOf_.end())
        return std::nullopt;
    const auto &found = targets_.at(pool->second).at(group);
    if (!hasCapacity(found, priority))
        return std::nullopt;
    return found.choice_;
}

auto GroupChooser::routableGroups(const PoolName &pool) const -> std::vector<GroupId>
{
    auto groups = std::vector<GroupId>{};
    const auto found = targets_.find(pool);
    if (found == targets_.end())
        return groups;
    for (const auto &[group, target] : found->second)
        groups.push_back(group);
    return groups;
}

auto GroupChooser::hasRoutableGroup(const PoolName &pool) const -> bool
{
    return targets_.contains(pool);
}

auto GroupChooser::target(const GroupId &group) -> Target *
{
    const auto pool = poolOf_.find(group);
    if (pool == poolOf_.end())
        return nullptr;
    return &targets_.at(pool->second).at(group);
}

auto GroupChooser::loadWithOneMore(const Target &target) -> double
{
    const auto inUse
        = std::max<std::int64_t>(0, std::int64_t{target.inUse_} + target.pendingPermits_);
    return static_cast<double>(inUse + 1) / std::max(target.limit_, 1U);
}

auto GroupChooser::hasCapacity(const Target &target, std::uint32_t priority) -> bool
{
    if (target.isEjected_)
        return false;
    const auto inUse = std::int64_t{target.inUse_} + target.pendingPermits_;
    if (!target.hasReport_)
        return inUse <= 0;
    if (inUse >= std::int64_t{target.limit_})
        return false;
    if (priority >= minReservePriority || inUse <= 0)
        return true;
    return loadWithOneMore(target) <= 1.0 - reservedFraction;
}

} // namespace lycheereach
