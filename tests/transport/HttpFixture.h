/// \file
/// \brief A server and a client on the loopback interface.
#pragma once

#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/Waiter.h"
#include "transport/WorkerPool.h"

#include <string>

namespace lycheereach {

/// What a call has told so far.
struct CallRecord
{
    HttpResponse head_;
    std::string body_;
    int parts_ = 0;
    std::optional<HttpOutcome> outcome_;
};

/// A server with an exchangeable handler, and a client.
class HttpFixture
{
public:
    static constexpr auto workerCount = 3;

    explicit HttpFixture(HttpHandler handler, HttpServerSettings settings = {})
        : server_(workers_, std::move(settings), std::move(handler))
    {
        startError_ = server_.start();
    }

    auto call(std::string method, std::string target, std::string body = {}) -> HttpCall
    {
        auto call = HttpCall{};
        call.address_ = "127.0.0.1:" + std::to_string(server_.port());
        call.request_ = {std::move(method), std::move(target), {}, std::move(body)};
        return call;
    }

    static auto recordInto(Watched<CallRecord> &record) -> HttpCallHooks
    {
        auto hooks = HttpCallHooks{};
        hooks.head_ = [&](const HttpResponse &head) {
            record.change([&](CallRecord &call) { call.head_ = head; });
        };
        hooks.part_ = [&](std::string_view part) {
            record.change([&](CallRecord &call) {
                call.body_ += part;
                ++call.parts_;
            });
        };
        hooks.ended_ = [&](const HttpOutcome &outcome) {
            record.change([&](CallRecord &call) { call.outcome_ = outcome; });
        };
        return hooks;
    }

    /// Waits for the end of a call.
    static auto outcomeOf(Watched<CallRecord> &record) -> HttpOutcome
    {
        record.waitFor([](const CallRecord &call) { return call.outcome_.has_value(); });
        return record.get().outcome_.value_or(HttpOutcome{});
    }

    WorkerPool workers_ = WorkerPool(workerCount);
    HttpServer server_;
    std::error_code startError_;
    HttpClient client_;
};

} // namespace lycheereach
