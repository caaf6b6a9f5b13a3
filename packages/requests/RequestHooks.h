/// \file
/// \brief What RequestMachine takes from outside.
#pragma once

#include "base/Time.h"

#include <functional>

namespace lycheereach {

/// What RequestMachine takes from outside.
struct RequestHooks
{
    /// Takes one retry from the retry budget; false when it is spent.
    std::function<bool()> takeRetry_;
    RandomSource random_;
};

} // namespace lycheereach
