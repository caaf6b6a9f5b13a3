/// \file
/// \brief Packs long texts for the log and the network.
#pragma once

#include "base/Result.h"

#include <string>

namespace lycheereach {

/// \a text as it is when it is short; otherwise a mark followed by the deflated bytes in base64.
auto packText(const std::string &text) -> std::string;
/// Whether packText() returned \a text packed.
auto isPackedText(const std::string &text) -> bool;
/// The inverse of packText(); fails with Error::InvalidJson.
auto unpackText(const std::string &packed) -> Result<std::string>;

} // namespace lycheereach
