#include "daemon/OrderSender.h"

#include "transport/HttpClient.h"

#include <atomic>
#include <memory>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto orderTimeout = std::chrono::seconds(2);
constexpr auto accepted = 200;

} // namespace

auto sendOrder(HttpClient &client, const MemberOrder &order,
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
                                orderBody(order).dump()};
    auto status = std::make_shared<std::atomic<int>>(0);
    const auto head = [status](const HttpResponse &response) { *status = response.status_; };
    const auto done = [status, ended = std::move(ended)](const HttpOutcome &outcome) {
        ended(!outcome.error_ && *status == accepted);
    };
    client.start(std::move(call), HttpCallHooks{head, nullptr, done});
}

} // namespace lycheereach
