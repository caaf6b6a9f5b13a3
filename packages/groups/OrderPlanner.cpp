#include "groups/OrderPlanner.h"

#include "groups/FreeInstances.h"

#include <algorithm>
#include <tuple>

namespace lycheereach {

namespace {

/// How long an engine may take to announce the effect of an order that it accepted.
constexpr auto confirmationTimeout = std::chrono::seconds(2);
/// The delay before a refused or failed order is repeated.
constexpr auto retryDelay = std::chrono::seconds(1);
/// The delay before an engine that refused to load weights as a spare gets the order again.
constexpr auto spareLoadRetryDelay = std::chrono::minutes(1);

auto matchesMembership(const Announcement &announced, const Group &group, std::uint32_t rank)
    -> bool
{
    return announced.group_ == group.id_ && announced.epoch_ == group.epoch_
        && announced.rank_ == rank;
}

auto memberAddresses(const FleetState &state, const Group &group) -> std::vector<MemberAddress>
{
    auto members = std::vector<MemberAddress>{};
    for (const auto &member : group.members_)
        members.push_back({member, state.upstreams_.at(member).announced_.address_});
    return members;
}

/// An order to leave the group that the upstream announces.
auto leaveOrder(const Announcement &announced, FencingNumber fencing) -> EngineOrder
{
    auto order = EngineOrder{};
    order.upstream_ = announced.upstream_;
    order.address_ = announced.address_;
    order.kind_ = OrderKind::Leave;
    order.group_ = announced.group_;
    order.epoch_ = announced.epoch_;
    order.fencing_ = fencing;
    return order;
}

auto loadOrder(const Announcement &announced, const std::string &model, FencingNumber fencing)
    -> EngineOrder
{
    auto order = EngineOrder{};
    order.upstream_ = announced.upstream_;
    order.address_ = announced.address_;
    order.kind_ = OrderKind::Load;
    order.model_ = model;
    order.fencing_ = fencing;
    return order;
}

/// A group with members that have not joined it yet.
struct JoiningGroup
{
    std::size_t membersWithoutWeights_ = 0;
    const Group *group_ = nullptr;
    const Pool *pool_ = nullptr;
};

/// Complete groups with members that have not joined, those that need the fewest loads first, so
/// that some groups serve early.
auto joiningGroups(const FleetState &state) -> std::vector<JoiningGroup>
{
    auto joining = std::vector<JoiningGroup>{};
    for (const auto &[id, group] : state.groups_) {
        const auto *pool = findPool(state.declaration_, group.pool_);
        if (pool == nullptr || group.phase_ == GroupPhase::Draining)
            continue;
        auto item = JoiningGroup{0, &group, pool};
        auto isComplete = true;
        auto haveJoined = true;
        for (auto rank = std::uint32_t{0}; isComplete && rank < group.members_.size(); ++rank) {
            const auto found = state.upstreams_.find(group.members_[rank]);
            isComplete = found != state.upstreams_.end() && !found->second.lost_;
            if (!isComplete)
                continue;
            const auto &announced = found->second.announced_;
            haveJoined = haveJoined && matchesMembership(announced, group, rank);
            item.membersWithoutWeights_ += hasWeights(announced, pool->model_) ? 0 : 1;
        }
        if (isComplete && !haveJoined)
            joining.push_back(item);
    }
    std::stable_sort(joining.begin(), joining.end(),
                     [](const JoiningGroup &left, const JoiningGroup &right) {
                         return left.membersWithoutWeights_ < right.membersWithoutWeights_;
                     });
    return joining;
}

auto poolModelOf(const FleetState &state, const Upstream &upstream) -> std::string
{
    const auto *pool = findPool(state.declaration_, upstream.announced_.pool_);
    return pool == nullptr ? std::string{} : pool->model_;
}

} // namespace

auto OrderPlanner::plan(const FleetState &state, MonotonicTime now) -> std::vector<EngineOrder>
{
    std::erase_if(sent_, [&](const auto &item) { return !state.upstreams_.contains(item.first); });
    auto pass = Pass{state, now, loadsLeft(state, now), {}};
    planLeaves(pass);
    for (const auto &joining : joiningGroups(state))
        planJoins(pass, *joining.group_, *joining.pool_);
    planSpares(pass);
    return pass.orders_;
}

auto OrderPlanner::planJoins(Pass &pass, const Group &group, const Pool &pool) -> void
{
    const auto members = memberAddresses(pass.state_, group);
    for (auto rank = std::uint32_t{0}; rank < group.members_.size(); ++rank) {
        const auto &upstream = pass.state_.upstreams_.at(group.members_[rank]);
        const auto &announced = upstream.announced_;
        if (matchesMembership(announced, group, rank))
            continue;
        if (!announced.group_.empty() && announced.group_ != group.id_) {
            send(pass, upstream, leaveOrder(announced, group.fencing_));
            continue;
        }
        const auto needsLoad = !hasWeights(announced, pool.model_);
        if (needsLoad && (pass.loadsLeft_ == 0 || isZoneOut(pass.state_, group.zone_)))
            continue;
        const auto order = EngineOrder{announced.upstream_,
                                       announced.address_,
                                       OrderKind::Join,
                                       group.id_,
                                       group.epoch_,
                                       rank,
                                       members,
                                       pool.model_,
                                       group.fencing_};
        const auto ordersBefore = pass.orders_.size();
        send(pass, upstream, order);
        if (needsLoad && pass.orders_.size() > ordersBefore)
            --pass.loadsLeft_;
    }
}

auto OrderPlanner::planLeaves(Pass &pass) -> void
{
    for (const auto &[id, upstream] : pass.state_.upstreams_) {
        const auto &announced = upstream.announced_;
        const auto isOrphan = !announced.group_.empty() && !pass.state_.groupOf_.contains(id);
        if (isOrphan && !upstream.lost_ && announced.kind_ == UpstreamKind::Engine)
            send(pass, upstream, leaveOrder(announced, pass.state_.lastFencing_));
    }
}

auto OrderPlanner::planSpares(Pass &pass) -> void
{
    for (const auto &pool : pass.state_.declaration_.pools_) {
        for (const auto &spare : freeInstances(pass.state_, pool)) {
            if (pass.loadsLeft_ == 0)
                return;
            const auto &upstream = pass.state_.upstreams_.at(spare.upstream_);
            if (spare.hasWeights_ || upstream.announced_.phase_ != MemberPhase::Idle)
                continue;
            const auto ordersBefore = pass.orders_.size();
            send(pass, upstream,
                 loadOrder(upstream.announced_, pool.model_, pass.state_.lastFencing_));
            if (pass.orders_.size() > ordersBefore)
                --pass.loadsLeft_;
        }
    }
}

auto OrderPlanner::loadsLeft(const FleetState &state, MonotonicTime now) const -> std::uint32_t
{
    auto loads = std::uint32_t{0};
    for (const auto &[id, upstream] : state.upstreams_) {
        if (upstream.lost_ || hasWeights(upstream.announced_, poolModelOf(state, upstream)))
            continue;
        const auto sent = sent_.find(id);
        const auto isOrdered = sent != sent_.end() && sent->second.order_.kind_ != OrderKind::Leave
            && isAwaitingConfirmation(sent->second, upstream, now);
        if (isOrdered || upstream.announced_.phase_ == MemberPhase::Loading)
            ++loads;
    }
    const auto limit = state.declaration_.defaults_.loadsAtOnce_;
    return limit > loads ? limit - loads : 0;
}

auto OrderPlanner::isAwaitingConfirmation(const SentOrder &sent, const Upstream &upstream,
                                          MonotonicTime now) const -> bool
{
    if (sent.inFlight_)
        return true;
    if (!sent.accepted_ || sent.incarnation_ != upstream.announced_.incarnation_)
        return false;
    return now - sent.endedAt_ < confirmationTimeout;
}

auto OrderPlanner::send(Pass &pass, const Upstream &upstream, const EngineOrder &order) -> void
{
    const auto found = sent_.find(order.upstream_);
    if (found != sent_.end()) {
        const auto &sent = found->second;
        if (sent.inFlight_)
            return;
        const auto isSame
            = sent.order_ == order && sent.incarnation_ == upstream.announced_.incarnation_;
        const auto delayAfterRefusal
            = order.kind_ == OrderKind::Load ? Duration(spareLoadRetryDelay) : Duration(retryDelay);
        const auto delay = sent.accepted_ ? Duration(confirmationTimeout) : delayAfterRefusal;
        if (isSame && pass.now_ - sent.endedAt_ < delay)
            return;
    }
    sent_[order.upstream_] = SentOrder{order, upstream.announced_.incarnation_, true, false, {}};
    pass.orders_.push_back(order);
}

auto OrderPlanner::orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void
{
    const auto found = sent_.find(upstream);
    if (found == sent_.end())
        return;
    found->second.inFlight_ = false;
    found->second.accepted_ = accepted;
    found->second.endedAt_ = now;
}

auto OrderPlanner::reset() -> void
{
    sent_.clear();
}

} // namespace lycheereach
