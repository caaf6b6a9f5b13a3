/// \file
/// \brief What differs between two JSON values, for operators to read.
#pragma once

#include "base/JsonCodec.h"

#include <string>
#include <vector>

namespace lycheereach {

/// One line for each difference: JSON path, old and new value.
auto differencesBetween(const Json &before, const Json &after) -> std::vector<std::string>;

} // namespace lycheereach
