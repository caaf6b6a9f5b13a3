/// \file
/// \brief Maps HTTP messages to and from forwarded requests.
#pragma once

#include "forward/ForwardCall.h"
#include "forward/ForwardHead.h"
#include "forward/ForwardRefusal.h"
#include "forward/ForwardRequest.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <functional>

namespace lycheereach {

/// Maps the HTTP messages exchanged with callers and upstreams to forwarded requests and back,
/// so that header names and formats stay out of this package.
struct ForwardDialect
{
    std::function<ForwardRequest(HttpRequest)> readRequest_;
    std::function<HttpRequest(const ForwardRequest &, const ForwardCall &)> writeRequest_;
    std::function<ForwardHead(const HttpResponse &)> readHead_;
    std::function<HttpResponse(const ForwardRefusal &)> writeRefusal_;
};

} // namespace lycheereach
