/// \file
/// \brief JSON as an HTTP response.
#pragma once

#include "base/JsonCodec.h"
#include "transport/HttpResponse.h"

#include <cstdint>

namespace lycheereach {

/// \a json with \a status.
inline auto jsonResponse(std::uint16_t status, const Json &json) -> HttpResponse
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, json.dump() + "\n"};
}

} // namespace lycheereach
