/// \file
/// \brief Gives each HTTP request to the part that answers it.
#pragma once

#include "transport/HttpReply.h"
#include "transport/HttpRequest.h"

#include <memory>

namespace lycheereach {

class AdminApi;
class CallerApi;
class RequestService;
class UpstreamApi;

/// Gives each HTTP request to the part that answers it. Thread-safe.
class HttpRoutes
{
public:
    HttpRoutes(CallerApi &callers, UpstreamApi &upstreams, AdminApi &admin,
               RequestService &requests);

    auto handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void;

private:
    CallerApi &callers_;
    UpstreamApi &upstreams_;
    AdminApi &admin_;
    RequestService &requests_;
};

} // namespace lycheereach
