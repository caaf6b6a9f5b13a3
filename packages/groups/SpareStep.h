/// \file
/// \brief A step that makes a free engine a better spare.
#pragma once

#include "base/Ids.h"

#include <string>

namespace lycheereach {

/// A step that makes a free engine a better spare.
struct SpareStep
{
    enum class Kind {
        /// Load the weights of a model onto its host.
        Load,
        /// Prepare to join a group of the model whose weights it holds.
        Prepare,
    };

    UpstreamId upstream_;
    Kind kind_ = Kind::Load;
    std::string model_;

    auto operator==(const SpareStep &) const -> bool = default;
};

} // namespace lycheereach
