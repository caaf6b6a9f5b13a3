/// \file
/// \brief Checks of addresses and names that come from outside.
#pragma once

#include <string_view>

namespace lycheereach {

/// Whether \a text is an IP number and a port from 1 to 65535, as `10.0.0.1:80` or `[::1]:80`.
auto isIpAndPort(std::string_view text) -> bool;
/// Whether \a text has 1 to \a maxLength visible ASCII characters and no others, so that it can be
/// written to logs and as JSON as it is.
auto isVisibleAscii(std::string_view text, std::size_t maxLength) -> bool;

} // namespace lycheereach
