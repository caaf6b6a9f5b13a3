/// \file
/// \brief An HTTP server on RESTinio.
#pragma once

#include "base/Event.h"
#include "base/Time.h"
#include "transport/HttpInput.h"
#include "transport/HttpReply.h"
#include "transport/HttpRequest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheereach {

class ConnectionRegistry;
class WorkerPool;

/// How a server listens.
struct HttpServerSettings
{
    /// An IP number.
    std::string address_ = "127.0.0.1";
    /// 0 takes any free port.
    std::uint16_t port_ = 0;
    /// The limits of requests, read for each of them; the defaults of HttpInputLimits if not set.
    /// A head may have 64 KiB at most.
    HttpInputLimitsSource inputLimits_;
    /// The connections of the process; of this server alone if not set.
    std::shared_ptr<ConnectionRegistry> connections_;
    /// A connection is closed when its client takes nothing of a response for this time.
    Duration writeTimeout_ = std::chrono::seconds(60);
    /// The longest time from request to the end of its answer.
    Duration handleTimeout_ = std::chrono::minutes(30);
    /// Takes an event for each handler that throws, if set.
    EventSink event_;
};

/// Takes requests on worker threads, several at once. A request whose handler throws is answered
/// with 500, unless another object holds the reply.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

/// Serves HTTP/1.1. RESTinio stays behind this header: it costs half a minute to compile.
class HttpServer
{
public:
    HttpServer(WorkerPool &workers, HttpServerSettings settings, HttpHandler handler);
    /// Stops listening; answers in progress are closed.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Listens; the error says why it can't, for example address in use.
    auto start() -> std::error_code;
    /// Takes no new connections; those open go on.
    auto stopListening() -> void;
    /// The port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lycheereach
