/// \file
/// \brief Reading small files.
#pragma once

#include "base/Result.h"

#include <string>

namespace lycheereach {

/// The content of the file at \a path.
auto readTextFile(const std::string &path) -> Result<std::string>;

/// The key in the file at \a path without its line end; at least 16 characters.
auto readKeyFile(const std::string &path) -> Result<std::string>;

} // namespace lycheereach
