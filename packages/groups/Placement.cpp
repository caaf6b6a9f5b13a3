#include "groups/Placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>

namespace lycheereach {

namespace {

using Instances = std::vector<const FreeInstance *>;

/// Lower is better.
struct PlacementCost
{
    /// Accelerators that members have beyond the smallest member.
    std::uint32_t unused_ = 0;
    std::size_t withoutWeights_ = 0;
    std::size_t unprepared_ = 0;
    /// Counted down from the greatest number where more spares are to cost less.
    std::size_t spares_ = 0;

    auto operator<=>(const PlacementCost &) const = default;
};

auto byFit(const FreeInstance *left, const FreeInstance *right) -> bool
{
    return std::tuple(right->accelerators_, !left->hasWeights_, !left->isPrepared_, left->upstream_)
        < std::tuple(left->accelerators_, !right->hasWeights_, !right->isPrepared_,
                     right->upstream_);
}

auto costOf(const Instances &sorted, std::size_t first, std::size_t size, DomainChoice choice)
    -> PlacementCost
{
    auto cost = PlacementCost{};
    const auto smallest = sorted[first + size - 1]->accelerators_;
    for (auto index = first; index < first + size; ++index) {
        cost.unused_ += sorted[index]->accelerators_ - smallest;
        cost.withoutWeights_ += sorted[index]->hasWeights_ ? 0 : 1;
        cost.unprepared_ += sorted[index]->isPrepared_ ? 0 : 1;
    }
    const auto spares = sorted.size() - size;
    const auto isTight = choice == DomainChoice::Tightest;
    cost.spares_ = isTight ? spares : std::numeric_limits<std::size_t>::max() - spares;
    return cost;
}

auto placedGroup(const Instances &members) -> PlacedGroup
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

/// The best run of \a size instances of one domain.
auto placeWithin(const std::map<FabricDomain, Instances> &domains, std::size_t size,
                 DomainChoice choice) -> std::optional<PlacedGroup>
{
    auto best = std::optional<std::pair<PlacementCost, Instances>>{};
    for (const auto &[domain, instances] : domains) {
        auto sorted = instances;
        std::sort(sorted.begin(), sorted.end(), byFit);
        for (auto first = std::size_t{0}; first + size <= sorted.size(); ++first) {
            const auto cost = costOf(sorted, first, size, choice);
            if (best && best->first <= cost)
                continue;
            const auto begin = sorted.begin() + static_cast<std::ptrdiff_t>(first);
            best = {cost, Instances(begin, begin + static_cast<std::ptrdiff_t>(size))};
        }
    }
    if (!best)
        return std::nullopt;
    return placedGroup(best->second);
}

/// Joins the fullest domains of the zone that has the most instances.
auto placeAcross(const std::map<FabricDomain, Instances> &domains, std::size_t size)
    -> std::optional<PlacedGroup>
{
    auto zones = std::map<ZoneName, std::vector<Instances>>{};
    for (const auto &[domain, instances] : domains) {
        auto crossing = Instances{};
        std::copy_if(instances.begin(), instances.end(), std::back_inserter(crossing),
                     [](const FreeInstance *instance) { return instance->mayCross_; });
        if (!crossing.empty())
            zones[crossing.front()->zone_].push_back(crossing);
    }
    auto best = Instances{};
    for (auto &[zone, parts] : zones) {
        std::stable_sort(parts.begin(), parts.end(), [](const auto &left, const auto &right) {
            return left.size() > right.size();
        });
        auto joined = Instances{};
        for (const auto &part : parts)
            joined.insert(joined.end(), part.begin(), part.end());
        if (joined.size() > best.size())
            best = joined;
    }
    if (best.size() < size)
        return std::nullopt;
    best.resize(size);
    return placedGroup(best);
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
    auto within = placeWithin(domains, size, choice);
    if (within)
        return within;
    return placeAcross(domains, size);
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
