#include "groups/Regrouping.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace lycheereach {

namespace {

/// The worst coverage must rise by this factor: a group that is taken apart finishes its streams
/// first, and its members serve nobody for a few seconds.
constexpr auto requiredGain = 1.15;

using Candidates = std::vector<const RegroupCandidate *>;

/// Takes \a pool.size_ of \a candidates that fit \a pool, first those that do not fit \a other.
/// Returns whether there were enough; takes none otherwise.
auto takeGroup(Candidates &candidates, const PoolSupply &pool, const PoolSupply &other) -> bool
{
    const auto rank = [&](const RegroupCandidate *candidate) {
        if (!candidate->fits_.contains(pool.name_))
            return 2;
        return candidate->fits_.contains(other.name_) ? 1 : 0;
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const auto *left, const auto *right) { return rank(left) < rank(right); });
    const auto fitting = std::count_if(candidates.begin(), candidates.end(),
                                       [&](const auto *candidate) { return rank(candidate) < 2; });
    if (static_cast<std::size_t>(fitting) < pool.size_)
        return false;
    candidates.erase(candidates.begin(),
                     candidates.begin() + static_cast<std::ptrdiff_t>(pool.size_));
    return true;
}

/// The free instances of a domain, and the members of its groups of one pool.
struct Domain
{
    Candidates free_;
    std::map<GroupId, Candidates> groups_;
};

auto domainsFor(const std::vector<RegroupCandidate> &candidates, const PoolSupply &donor)
    -> std::map<FabricDomain, Domain>
{
    auto domains = std::map<FabricDomain, Domain>{};
    for (const auto &candidate : candidates) {
        auto &domain = domains[candidate.domain_];
        if (candidate.group_.empty())
            domain.free_.push_back(&candidate);
        else if (candidate.pool_ == donor.name_)
            domain.groups_[candidate.group_].push_back(&candidate);
    }
    return domains;
}

/// A way to get one more group of the wanted pool.
struct Regrouping
{
    std::vector<GroupId> groups_;
    /// The worse coverage of the two pools afterwards.
    double coverage_ = 0;
};

/// The fewest groups of \a domain that give \a wanted one more group.
auto regroupingOf(const Domain &domain, const PoolSupply &wanted, const PoolSupply &donor)
    -> Regrouping
{
    auto result = Regrouping{};
    auto instances = domain.free_;
    for (const auto &[id, members] : domain.groups_) {
        instances.insert(instances.end(), members.begin(), members.end());
        result.groups_.push_back(id);
        auto left = instances;
        if (!takeGroup(left, wanted, donor))
            continue;
        auto donorGroups = donor.groups_ - result.groups_.size();
        while (takeGroup(left, donor, wanted))
            ++donorGroups;
        result.coverage_
            = std::min(wanted.coverage(wanted.groups_ + 1), donor.coverage(donorGroups));
        return result;
    }
    return {};
}

} // namespace

auto groupsToTakeApart(const std::vector<PoolSupply> &pools,
                       const std::vector<RegroupCandidate> &candidates) -> std::vector<GroupId>
{
    const auto covered = [](const PoolSupply &left, const PoolSupply &right) {
        return left.coverage(left.groups_) < right.coverage(right.groups_);
    };
    const auto wanted = std::min_element(pools.begin(), pools.end(), covered);
    if (wanted == pools.end())
        return {};
    auto best = Regrouping{{}, requiredGain * wanted->coverage(wanted->groups_)};
    for (const auto &donor : pools) {
        if (donor.name_ == wanted->name_)
            continue;
        for (const auto &[name, domain] : domainsFor(candidates, donor)) {
            auto regrouping = regroupingOf(domain, *wanted, donor);
            const auto isBetter = regrouping.coverage_ > best.coverage_
                || (regrouping.coverage_ == best.coverage_ && !best.groups_.empty()
                    && regrouping.groups_.size() < best.groups_.size());
            if (isBetter && !regrouping.groups_.empty())
                best = std::move(regrouping);
        }
    }
    return best.groups_;
}

} // namespace lycheereach
