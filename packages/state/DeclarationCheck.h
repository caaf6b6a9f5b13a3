/// \file
/// \brief The full check of a declaration before it is accepted.
#pragma once

#include "state/Declaration.h"

#include <string>
#include <vector>

namespace lycheereach {

/// Everything that is wrong with \a declaration, each with its JSON path and what would be right;
/// empty when it may be accepted.
auto checkDeclaration(const Declaration &declaration) -> std::vector<std::string>;

} // namespace lycheereach
