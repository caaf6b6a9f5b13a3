#include "state/FleetState.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto zoneWeight = 1;
constexpr auto poolWeight = 2;
constexpr auto upstreamWeight = 4;

template <typename Key>
auto admits(const std::optional<Key> &wanted, const Key &actual) -> bool
{
    return !wanted || *wanted == actual;
}

auto specificity(const ExceptionMatch &match) -> int
{
    auto weight = 0;
    weight += match.zone_ ? zoneWeight : 0;
    weight += match.pool_ ? poolWeight : 0;
    weight += match.upstream_ ? upstreamWeight : 0;
    return weight;
}

auto overlay(Policy &policy, const PolicyOverride &replacement) -> void
{
    const auto zip = [&](const auto &...settings) {
        const auto inner = [&](const auto &...replacements) {
            const auto put = [&](const auto &setting, const auto &field) {
                if (replacement.*(field.member_))
                    policy.*(setting.member_) = *(replacement.*(field.member_));
            };
            (put(settings, replacements), ...);
        };
        std::apply(inner, PolicyOverride::fields());
    };
    std::apply(zip, Policy::fields());
}

template <typename Item>
auto findNamed(const std::vector<Item> &items, const PoolName &name) -> const Item *
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item &item) { return item.name_ == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

auto isWithdrawn(const Upstream &upstream) -> bool
{
    return upstream.draining_ || upstream.retired_ || upstream.announced_.leaving_;
}

auto mayTakeWork(const Upstream &upstream) -> bool
{
    return !upstream.lost_ && !isWithdrawn(upstream);
}

auto memberAgrees(const Group &group, const Upstream &upstream) -> bool
{
    if (upstream.lost_)
        return false;
    const auto &announced = upstream.announced_;
    if (announced.kind_ == UpstreamKind::Service)
        return true;
    return announced.group_ == group.id_ && announced.epoch_ == group.epoch_
        && (announced.phase_ == MemberPhase::Ready || announced.phase_ == MemberPhase::Open);
}

auto allMembersAgree(const FleetState &state, const Group &group) -> bool
{
    const auto agrees = [&](const UpstreamId &member) {
        const auto found = state.upstreams_.find(member);
        return found != state.upstreams_.end() && memberAgrees(group, found->second);
    };
    return std::all_of(group.members_.begin(), group.members_.end(), agrees);
}

auto enginesOf(const Pool &pool) -> const PoolName &
{
    return pool.engines_.empty() ? pool.name_ : pool.engines_;
}

auto findProfile(const Declaration &declaration, const PoolName &name) -> const UpstreamProfile *
{
    return findNamed(declaration.profiles_, name);
}

auto findPool(const Declaration &declaration, const PoolName &name) -> const Pool *
{
    return findNamed(declaration.pools_, name);
}

auto findService(const Declaration &declaration, const PoolName &name) -> const Service *
{
    return findNamed(declaration.services_, name);
}

auto isZoneOut(const FleetState &state, const ZoneName &zone) -> bool
{
    return state.zonesOut_.contains(zone);
}

auto policyFor(const Declaration &declaration, const ZoneName &zone, const PoolName &pool,
               const UpstreamId &upstream) -> Policy
{
    auto matching = std::vector<const ExceptionRule *>{};
    for (const auto &rule : declaration.exceptions_) {
        const auto &match = rule.match_;
        if (admits(match.zone_, zone) && admits(match.pool_, pool)
            && admits(match.upstream_, upstream))
            matching.push_back(&rule);
    }
    const auto byWeight = [](const ExceptionRule *left, const ExceptionRule *right) {
        return specificity(left->match_) < specificity(right->match_);
    };
    std::stable_sort(matching.begin(), matching.end(), byWeight);
    auto policy = declaration.defaults_;
    for (const auto *rule : matching)
        overlay(policy, rule->set_);
    return policy;
}

} // namespace lycheereach
