#include "daemon/HttpRoutes.h"

#include "gateway/AdminApi.h"
#include "gateway/CallerApi.h"
#include "gateway/RequestService.h"
#include "gateway/UpstreamApi.h"

#include <utility>

namespace lycheereach {

HttpRoutes::HttpRoutes(CallerApi &callers, UpstreamApi &upstreams, AdminApi &admin,
                       RequestService &requests)
    : callers_(callers)
    , upstreams_(upstreams)
    , admin_(admin)
    , requests_(requests)
{ }

auto HttpRoutes::handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void
{
    if (auto response = callers_.handle(request)) {
        reply->send(std::move(*response));
        return;
    }
    if (request.method_ == "POST" && request.target_ == "/v1/announce") {
        reply->send(upstreams_.announce(request));
        return;
    }
    if (request.target_.starts_with("/v1/admin/")) {
        admin_.handle(request, std::move(reply));
        return;
    }
    requests_.handle(std::move(request), std::move(reply));
}

} // namespace lycheereach
