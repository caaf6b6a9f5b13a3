/// \file
/// \brief Chooses free instances for a new group or as replacement of a lost member.
#pragma once

#include "groups/DomainChoice.h"
#include "groups/FreeInstance.h"
#include "groups/PlacedGroup.h"

#include <optional>
#include <vector>

namespace lycheereach {

/// The \a size instances of \a free that form the best group within one fabric domain. Criteria in
/// this order: the fewest accelerators beyond those of the smallest member, the most members that
/// hold the weights, the most that are prepared, and the number of spares left in the domain by
/// \a choice. When no domain has enough instances, those that may cross domains are taken from the
/// fewest domains of one zone.
auto placeGroup(const std::vector<FreeInstance> &free, std::size_t size,
                DomainChoice choice = DomainChoice::MostSpares) -> std::optional<PlacedGroup>;

/// The instance of \a free that best replaces a member in \a domain: one of that domain, preferably
/// with at least \a accelerators, few beyond them, and the weights loaded, in this order. Nothing
/// when no instance of the domain is free.
auto placeSpare(const std::vector<FreeInstance> &free, const FabricDomain &domain,
                std::uint32_t accelerators) -> std::optional<UpstreamId>;

} // namespace lycheereach
