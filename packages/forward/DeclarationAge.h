/// \file
/// \brief Which version of the declaration an entry obeys, and for how long it has.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

namespace lycheereach {

/// Which version of the declaration an entry obeys, and for how long it has.
struct DeclarationAge
{
    /// 0 before the first declaration.
    Version version_ = 0;
    Duration age_{};

    auto operator==(const DeclarationAge &) const -> bool = default;
};

} // namespace lycheereach
