/// \file
/// \brief Reading a declaration from a file.
#pragma once

#include "base/Result.h"
#include "state/Declaration.h"

#include <string>

namespace lycheereach {

/// Reads and validates the file at \a path; the failure lists all errors with their line numbers.
auto loadDeclaration(const std::string &path) -> Result<Declaration>;

} // namespace lycheereach
