#include "groups/Regrouping.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace lycheereach {

namespace {

/// The factor by which the lower coverage of the two pools must rise: a group that is dissolved
/// finishes its streams first, and its members then serve no requests for a few seconds.
constexpr auto minCoverageGain = 1.15;

using Candidates = std::vector<const RegroupCandidate *>;

/// Removes the members of one group of \a pool from \a candidates, those that are not eligible for
/// \a other first. Returns false and removes none when there are too few.
auto tryTakeGroup(Candidates &candidates, const PoolSupply &pool, const PoolSupply &other) -> bool
{
    const auto preference = [&](const RegroupCandidate *candidate) {
        if (!candidate->eligiblePools_.contains(pool.name_))
            return 2;
        return candidate->eligiblePools_.contains(other.name_) ? 1 : 0;
    };
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [&](const auto *left, const auto *right) { return preference(left) < preference(right); });
    const auto eligibleCount
        = std::count_if(candidates.begin(), candidates.end(),
                        [&](const auto *candidate) { return preference(candidate) < 2; });
    if (static_cast<std::size_t>(eligibleCount) < pool.groupSize_)
        return false;
    candidates.erase(candidates.begin(),
                     candidates.begin() + static_cast<std::ptrdiff_t>(pool.groupSize_));
    return true;
}

/// The free instances of a domain, and the members of its groups of the donor pool.
struct DomainInstances
{
    Candidates free_;
    std::map<GroupId, Candidates> groups_;
};

auto domainsOfDonor(const std::vector<RegroupCandidate> &candidates, const PoolSupply &donor)
    -> std::map<FabricDomain, DomainInstances>
{
    auto domains = std::map<FabricDomain, DomainInstances>{};
    for (const auto &candidate : candidates) {
        auto &domain = domains[candidate.domain_];
        if (candidate.group_.empty())
            domain.free_.push_back(&candidate);
        else if (candidate.pool_ == donor.name_)
            domain.groups_[candidate.group_].push_back(&candidate);
    }
    return domains;
}

/// Groups of the donor pool whose end gives the recipient pool one more group.
struct RegroupingOption
{
    std::vector<GroupId> groups_;
    /// The lower coverage of the two pools afterwards.
    double coverage_ = 0;
};

/// The fewest groups of \a domain that give \a recipient one more group; empty when none do.
auto findOption(const DomainInstances &domain, const PoolSupply &recipient, const PoolSupply &donor)
    -> RegroupingOption
{
    auto result = RegroupingOption{};
    auto instances = domain.free_;
    for (const auto &[id, members] : domain.groups_) {
        instances.insert(instances.end(), members.begin(), members.end());
        result.groups_.push_back(id);
        auto remaining = instances;
        if (!tryTakeGroup(remaining, recipient, donor))
            continue;
        auto donorGroups = donor.groups_ - result.groups_.size();
        while (tryTakeGroup(remaining, donor, recipient))
            ++donorGroups;
        result.coverage_
            = std::min(recipient.coverage(recipient.groups_ + 1), donor.coverage(donorGroups));
        return result;
    }
    return {};
}

} // namespace

auto groupsToDissolve(const std::vector<PoolSupply> &pools,
                      const std::vector<RegroupCandidate> &candidates) -> std::vector<GroupId>
{
    const auto hasLowerCoverage = [](const PoolSupply &left, const PoolSupply &right) {
        return left.coverage(left.groups_) < right.coverage(right.groups_);
    };
    const auto recipient = std::min_element(pools.begin(), pools.end(), hasLowerCoverage);
    if (recipient == pools.end())
        return {};
    auto best = RegroupingOption{{}, minCoverageGain * recipient->coverage(recipient->groups_)};
    for (const auto &donor : pools) {
        if (donor.name_ == recipient->name_)
            continue;
        for (const auto &[name, domain] : domainsOfDonor(candidates, donor)) {
            auto option = findOption(domain, *recipient, donor);
            const auto isBetter = option.coverage_ > best.coverage_
                || (option.coverage_ == best.coverage_ && !best.groups_.empty()
                    && option.groups_.size() < best.groups_.size());
            if (isBetter && !option.groups_.empty())
                best = std::move(option);
        }
    }
    return best.groups_;
}

} // namespace lycheereach
