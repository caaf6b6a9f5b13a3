/// \file
/// \brief An order to one engine.
#pragma once

#include "groups/MemberAddress.h"
#include "groups/OrderKind.h"

#include <vector>

namespace lycheereach {

/// An order to one engine; sent to its `/v1/orders` with fencing_ as `X-Fencing-Number`.
struct EngineOrder
{
    UpstreamId upstream_;
    std::string address_;
    OrderKind kind_ = OrderKind::Join;
    GroupId group_;
    Epoch epoch_ = 0;
    std::uint32_t rank_ = 0;
    /// All members by rank; empty unless the order is to join.
    std::vector<MemberAddress> members_;
    /// The model whose weights are to be loaded; empty when the order is to leave.
    std::string model_;
    FencingNumber fencing_ = 0;

    auto operator==(const EngineOrder &) const -> bool = default;
};

/// The JSON body of \a order for `/v1/orders`, as docs/API.md describes it.
auto encodeOrderBody(const EngineOrder &order) -> Json;

} // namespace lycheereach
