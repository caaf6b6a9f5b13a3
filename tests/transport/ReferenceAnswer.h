/// \file
/// \brief What RFC 9112 says that bytes are.
#pragma once

#include "transport/HttpResponse.h"

#include <optional>
#include <string>

namespace lycheereach {

/// The response to a GET request in \a bytes, behind which the connection ends; nothing if they are
/// no whole response. Written from the grammar, apart from the reader under test.
auto referenceAnswer(const std::string &bytes) -> std::optional<HttpResponse>;

} // namespace lycheereach
