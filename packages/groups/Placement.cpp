#include "groups/Placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>

namespace lycheereach {

namespace {

using Instances = std::vector<const FreeInstance *>;

/// The criteria by which candidate groups are compared in order; lower is better.
struct PlacementCost
{
    /// Accelerators of members in excess of the smallest member's.
    std::uint32_t excessAccelerators_ = 0;
    std::size_t withoutWeights_ = 0;
    std::size_t unprepared_ = 0;
    /// The domain's spares, subtracted from the greatest number when more spares are to cost less.
    std::size_t spareCost_ = 0;

    auto operator<=>(const PlacementCost &) const = default;
};

/// Orders instances by most accelerators, weights held, prepared, and id.
auto isBetterFit(const FreeInstance *left, const FreeInstance *right) -> bool
{
    return std::tuple(right->accelerators_, !left->hasWeights_, !left->isPrepared_, left->upstream_)
        < std::tuple(left->accelerators_, !right->hasWeights_, !right->isPrepared_,
                     right->upstream_);
}

auto placementCost(const Instances &sorted, std::size_t first, std::size_t size,
                   DomainChoice choice) -> PlacementCost
{
    auto cost = PlacementCost{};
    const auto smallest = sorted[first + size - 1]->accelerators_;
    for (auto index = first; index < first + size; ++index) {
        cost.excessAccelerators_ += sorted[index]->accelerators_ - smallest;
        cost.withoutWeights_ += sorted[index]->hasWeights_ ? 0 : 1;
        cost.unprepared_ += sorted[index]->isPrepared_ ? 0 : 1;
    }
    const auto spares = sorted.size() - size;
    const auto prefersFewest = choice == DomainChoice::FewestSpares;
    cost.spareCost_ = prefersFewest ? spares : std::numeric_limits<std::size_t>::max() - spares;
    return cost;
}

auto toPlacedGroup(const Instances &members) -> PlacedGroup
{
    auto group = PlacedGroup{};
    group.zone_ = members.front()->zone_;
    for (const auto *member : members) {
        group.members_.push_back(member->upstream_);
        group.acrossDomains_ |= member->domain_ != members.front()->domain_;
    }
    std::sort(group.members_.begin(), group.members_.end());
    return group;
}

/// The cheapest \a size consecutive instances of one domain in the order of isBetterFit().
auto placeWithinDomain(const std::map<FabricDomain, Instances> &domains, std::size_t size,
                       DomainChoice choice) -> std::optional<PlacedGroup>
{
    auto best = std::optional<std::pair<PlacementCost, Instances>>{};
    for (const auto &[domain, instances] : domains) {
        auto sorted = instances;
        std::sort(sorted.begin(), sorted.end(), isBetterFit);
        for (auto first = std::size_t{0}; first + size <= sorted.size(); ++first) {
            const auto cost = placementCost(sorted, first, size, choice);
            if (best && best->first <= cost)
                continue;
            const auto begin = sorted.begin() + static_cast<std::ptrdiff_t>(first);
            best = {cost, Instances(begin, begin + static_cast<std::ptrdiff_t>(size))};
        }
    }
    if (!best)
        return std::nullopt;
    return toPlacedGroup(best->second);
}

/// Joins instances of the fullest domains of the zone that has the most instances.
auto placeAcrossDomains(const std::map<FabricDomain, Instances> &domains, std::size_t size)
    -> std::optional<PlacedGroup>
{
    auto zones = std::map<ZoneName, std::vector<Instances>>{};
    for (const auto &[domain, instances] : domains) {
        auto eligible = Instances{};
        std::copy_if(instances.begin(), instances.end(), std::back_inserter(eligible),
                     [](const FreeInstance *instance) { return instance->mayCrossDomains_; });
        if (!eligible.empty())
            zones[eligible.front()->zone_].push_back(eligible);
    }
    auto best = Instances{};
    for (auto &[zone, domainParts] : zones) {
        std::stable_sort(
            domainParts.begin(), domainParts.end(),
            [](const auto &left, const auto &right) { return left.size() > right.size(); });
        auto joined = Instances{};
        for (const auto &domainPart : domainParts)
            joined.insert(joined.end(), domainPart.begin(), domainPart.end());
        if (joined.size() > best.size())
            best = joined;
    }
    if (best.size() < size)
        return std::nullopt;
    best.resize(size);
    return toPlacedGroup(best);
}

} // namespace

auto placeGroup(const std::vector<FreeInstance> &free, std::size_t size, DomainChoice choice)
    -> std::optional<PlacedGroup>
{
    if (size == 0)
        return std::nullopt;
    auto domains = std::map<FabricDomain, Instances>{};
    for (const auto &instance : free)
        domains[instance.domain_].push_back(&instance);
    auto within = placeWithinDomain(domains, size, choice);
    if (within)
        return within;
    return placeAcrossDomains(domains, size);
}

auto placeSpare(const std::vector<FreeInstance> &free, const FabricDomain &domain,
                std::uint32_t accelerators) -> std::optional<UpstreamId>
{
    const auto rank = [&](const FreeInstance &instance) {
        const auto tooSmall = instance.accelerators_ < accelerators;
        const auto excess = tooSmall ? 0 : instance.accelerators_ - accelerators;
        return std::tuple(tooSmall, excess, !instance.hasWeights_, instance.upstream_);
    };
    const FreeInstance *best = nullptr;
    for (const auto &instance : free) {
        if (instance.domain_ != domain)
            continue;
        if (best == nullptr || rank(instance) < rank(*best))
            best = &instance;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->upstream_;
}

} // namespace lycheereach
