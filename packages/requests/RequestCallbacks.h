/// \file
/// \brief Callbacks that RequestMachine needs.
#pragma once

#include "base/Time.h"

#include <functional>

namespace lycheereach {

/// Callbacks that RequestMachine needs.
struct RequestCallbacks
{
    /// Takes one retry from the retry budget; false when the budget is exhausted.
    std::function<bool()> tryTakeRetry_;
    /// Makes attempt ids unique.
    RandomSource random_;
};

} // namespace lycheereach
