/// \file
/// \brief Which of several fabric domains gets a group.
#pragma once

namespace lycheereach {

/// Which of the fabric domains that would do gets a group.
enum class DomainChoice {
    /// The one that keeps the most spares.
    Widest,
    /// The one that keeps the fewest, so that larger groups fit into the others.
    Tightest,
};

} // namespace lycheereach
