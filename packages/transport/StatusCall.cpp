#include "transport/StatusCall.h"

#include "transport/HttpClient.h"

#include <atomic>
#include <memory>
#include <utility>

namespace lycheereach {

auto startForStatus(HttpClient &client, HttpCall call,
                    std::function<void(std::uint16_t status, const HttpOutcome &)> done) -> void
{
    auto status = std::make_shared<std::atomic<std::uint16_t>>(std::uint16_t{0});
    const auto head = [status](const HttpResponse &response) { *status = response.status_; };
    const auto ended
        = [status, done = std::move(done)](const HttpOutcome &outcome) { done(*status, outcome); };
    client.start(std::move(call), HttpCallHooks{head, nullptr, ended});
}

} // namespace lycheereach
