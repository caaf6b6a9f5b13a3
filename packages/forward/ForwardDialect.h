/// \file
/// \brief How the requests of an entry's callers and upstreams are spelled.
#pragma once

#include "forward/ForwardCall.h"
#include "forward/ForwardHead.h"
#include "forward/ForwardRefusal.h"
#include "forward/ForwardRequest.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <functional>

namespace lycheereach {

/// How the requests of an entry's callers and upstreams are spelled.
struct ForwardDialect
{
    std::function<ForwardRequest(HttpRequest)> readRequest_;
    std::function<HttpRequest(const ForwardRequest &, const ForwardCall &)> writeRequest_;
    std::function<ForwardHead(const HttpResponse &)> readHead_;
    std::function<HttpResponse(const ForwardRefusal &)> writeRefusal_;
};

} // namespace lycheereach
