#include "transport/StatusCall.h"

#include "transport/HttpClient.h"

#include <atomic>
#include <memory>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto statusBodyLimitBytes = std::size_t{64} * 1024;

} // namespace

auto startForStatus(HttpClient &client, HttpCall call,
                    std::function<void(std::uint16_t status, const HttpOutcome &)> done) -> void
{
    call.bodyLimitBytes_ = statusBodyLimitBytes;
    if (!call.totalTimeout_)
        call.totalTimeout_ = call.connectTimeout_ + call.firstByteTimeout_ + call.idleTimeout_;
    auto status = std::make_shared<std::atomic<std::uint16_t>>(std::uint16_t{0});
    const auto head = [status](const HttpResponse &response) { *status = response.status_; };
    const auto ended = [status, done = std::move(done)](const HttpOutcome &outcome) {
        done(outcome.error_ ? std::uint16_t{0} : status->load(), outcome);
    };
    client.start(std::move(call), HttpCallHooks{head, nullptr, ended});
}

} // namespace lycheereach
