/// \file
/// \brief Which free instances make the next group.
#pragma once

#include "groups/DomainChoice.h"
#include "groups/FreeInstance.h"
#include "groups/PlacedGroup.h"

#include <optional>
#include <vector>

namespace lycheereach {

/// The \a size instances of \a free that make the best group. All are in one fabric domain: one
/// where the members have equal accelerators, hold the weights, and leave the most or the fewest
/// spares by \a choice, in this order. When no domain has enough, those that may cross are joined
/// from the fewest domains of one zone.
auto placeGroup(const std::vector<FreeInstance> &free, std::size_t size,
                DomainChoice choice = DomainChoice::Widest) -> std::optional<PlacedGroup>;

/// The instance of \a free that best replaces a member in \a domain: one of the same domain, with
/// \a accelerators and the weights loaded where there is one. Nothing when no instance of the
/// domain is free.
auto placeSpare(const std::vector<FreeInstance> &free, const FabricDomain &domain,
                std::uint32_t accelerators) -> std::optional<UpstreamId>;

} // namespace lycheereach
