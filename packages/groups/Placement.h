/// \file
/// \brief Which free instances make the next group.
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheereach {

/// An instance that is in no group.
struct FreeInstance
{
    UpstreamId upstream_;
    ZoneName zone_;
    FabricDomain domain_;
    std::uint32_t accelerators_ = 0;
    bool hasWeights_ = false;
};

/// The members of a group to form.
struct PlacedGroup
{
    ZoneName zone_;
    std::vector<UpstreamId> members_;
    bool acrossDomains_ = false;

    auto operator==(const PlacedGroup &) const -> bool = default;
};

/// The \a size instances of \a free that make the best group. All are in one fabric domain; a
/// domain that has no other instances to spare goes first, then one with equal accelerators and
/// weights loaded. When no domain has enough and \a acrossDomains allows it, the fewest domains of
/// one zone are joined.
auto placeGroup(const std::vector<FreeInstance> &free, std::size_t size, bool acrossDomains)
    -> std::optional<PlacedGroup>;

/// The instance of \a free that best replaces a member in \a domain: one of the same domain, with
/// \a accelerators and the weights loaded where there is one. Nothing when no instance of the
/// domain is free.
auto placeSpare(const std::vector<FreeInstance> &free, const FabricDomain &domain,
                std::uint32_t accelerators) -> std::optional<UpstreamId>;

} // namespace lycheereach
