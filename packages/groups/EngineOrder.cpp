#include "groups/EngineOrder.h"

namespace lycheereach {

auto encodeOrderBody(const EngineOrder &order) -> Json
{
    auto body = Json{{"order", encode(order.kind_)}};
    if (order.kind_ != OrderKind::Leave)
        body["model"] = order.model_;
    if (order.kind_ == OrderKind::Load)
        return body;
    body["group"] = order.group_.text();
    body["epoch"] = order.epoch_;
    if (order.kind_ == OrderKind::Leave)
        return body;
    body["rank"] = order.rank_;
    body["members"] = encode(order.members_);
    return body;
}

} // namespace lycheereach
