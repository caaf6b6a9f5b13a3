#include "daemon/OrderSender.h"

#include "transport/StatusCall.h"

#include <utility>

namespace lycheereach {

namespace {

constexpr auto orderTimeout = std::chrono::seconds(2);
constexpr auto accepted = 200;

} // namespace

auto sendOrder(HttpClient &client, const EngineOrder &order,
               std::function<void(bool accepted)> ended) -> void
{
    auto call = HttpCall{.address_ = order.address_,
                         .connectTimeout_ = orderTimeout,
                         .firstByteTimeout_ = orderTimeout,
                         .idleTimeout_ = orderTimeout,
                         .freshConnection_ = true};
    call.request_ = HttpRequest{"POST",
                                "/v1/orders",
                                {{"Content-Type", "application/json"},
                                 {"X-Fencing-Number", std::to_string(order.fencing_)}},
                                encodeOrderBody(order).dump()};
    startForStatus(client, std::move(call),
                   [ended = std::move(ended)](std::uint16_t status, const HttpOutcome &outcome) {
                       ended(!outcome.error_ && status == accepted);
                   });
}

} // namespace lycheereach
