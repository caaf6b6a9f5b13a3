/// \file
/// \brief Maps HTTP messages to and from forwarded requests.
#pragma once

#include "forward/AttemptParameters.h"
#include "forward/ForwardRefusal.h"
#include "forward/ForwardRequest.h"
#include "forward/ForwardResponseHead.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <functional>

namespace lycheereach {

/// Maps the HTTP messages exchanged with callers and upstreams to forwarded requests and back,
/// so that header names and formats stay out of this package.
struct ForwardCodec
{
    std::function<ForwardRequest(HttpRequest)> parseRequest_;
    std::function<HttpRequest(const ForwardRequest &, const AttemptParameters &)> writeRequest_;
    std::function<ForwardResponseHead(const HttpResponse &)> parseHead_;
    std::function<HttpResponse(const ForwardRefusal &)> writeRefusal_;
};

} // namespace lycheereach
