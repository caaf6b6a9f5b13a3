/// \file
/// \brief A step that lets a free engine replace lost members faster.
#pragma once

#include "base/Ids.h"

#include <string>

namespace lycheereach {

/// A step that lets a free engine replace lost members faster.
struct SpareStep
{
    enum class Kind {
        /// Load the weights of a model onto its host.
        Load,
        /// Join a standby group for the model whose weights the host holds, so that the engine
        /// later
        /// joins a real group faster.
        Prepare,
    };

    UpstreamId upstream_;
    Kind kind_ = Kind::Load;
    std::string model_;

    auto operator==(const SpareStep &) const -> bool = default;
};

} // namespace lycheereach
