#include "client/ClientHooks.h"
#include "client/Commands.h"
#include "transport/HttpClient.h"

#include <future>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

using namespace lycheereach;

namespace {

/// Collects a streamed response on the thread of the HTTP client.
struct StreamedResponse
{
    HttpResponse response_;
    std::promise<HttpOutcome> outcome_;
};

auto streamResponse(HttpClient &client, HttpCall call, const BodyChunkSink &sink)
    -> Result<HttpResponse>
{
    constexpr auto okStatus = 200;
    auto answer = std::make_shared<StreamedResponse>();
    auto hooks = HttpCallHooks{};
    hooks.head_ = [answer](const HttpResponse &head) { answer->response_ = head; };
    hooks.part_ = [answer, sink](std::string_view part) {
        if (answer->response_.status_ == okStatus)
            sink(part);
        else
            answer->response_.body_ += part;
    };
    hooks.ended_ = [answer](const HttpOutcome &outcome) { answer->outcome_.set_value(outcome); };
    auto outcomeFuture = answer->outcome_.get_future();
    client.start(std::move(call), hooks);
    const auto outcome = outcomeFuture.get();
    if (outcome.error_)
        return Failure{outcome.error_, outcome.message_, outcome.verdict_};
    return answer->response_;
}

auto makeClientHooks(HttpClient &client) -> ClientHooks
{
    auto hooks = ClientHooks{};
    hooks.fetch_ = [&client](HttpCall call) { return client.fetch(std::move(call)); };
    hooks.stream_ = [&client](HttpCall call, const BodyChunkSink &sink) {
        return streamResponse(client, std::move(call), sink);
    };
    hooks.sleep_ = [](Duration duration) { std::this_thread::sleep_for(duration); };
    hooks.clock_ = [] { return std::chrono::steady_clock::now(); };
    hooks.wallClock_ = [] {
        return std::chrono::time_point_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now());
    };
    hooks.random_ = [device = std::make_shared<std::random_device>()] {
        return std::uniform_int_distribution<std::uint64_t>()(*device);
    };
    return hooks;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto client = HttpClient();
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    return static_cast<int>(runClient(arguments, makeClientHooks(client), std::cout, std::cerr));
}
