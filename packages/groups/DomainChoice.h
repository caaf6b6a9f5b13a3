/// \file
/// \brief How to choose among fabric domains for a new group.
#pragma once

namespace lycheereach {

/// How to choose among fabric domains that suit a new group equally well.
enum class DomainChoice {
    /// The domain that is left with the most free instances.
    MostSpares,
    /// The domain that is left with the fewest, so that larger groups fit into the others.
    FewestSpares,
};

} // namespace lycheereach
