/// \file
/// \brief HTTP responses with a JSON body.
#pragma once

#include "base/JsonCodec.h"
#include "transport/HttpResponse.h"

#include <cstdint>

namespace lycheereach {

/// An HTTP response with \a status and \a json as its body.
inline auto jsonResponse(std::uint16_t status, const Json &json) -> HttpResponse
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, toJsonText(json) + "\n"};
}

} // namespace lycheereach
