#include "transport/HttpServer.h"

#include "base/SystemClock.h"
#include "transport/ClientSocket.h"
#include "transport/ConnectionRegistry.h"
#include "transport/ConnectionUsage.h"
#include "transport/HookGate.h"
#include "transport/HttpParserCallbacks.h"
#include "transport/TcpListener.h"
#include "transport/WorkerPool.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace lycheereach {

// RESTinio finds these by the namespace of their argument.
template <typename Connection, typename Start, typename Failed>
auto prepare_connection_and_start_read( // NOLINT(readability-identifier-naming)
    ClientSocket &, Connection &, Start start, Failed) -> void
{
    start();
}

static auto make_tls_socket_pointer_for_state_listener( // NOLINT(readability-identifier-naming)
    ClientSocket &) noexcept -> restinio::impl::tls_socket_t *
{
    return nullptr;
}

namespace {

using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;
using WholeBuilder = restinio::response_builder_t<restinio::restinio_controlled_output_t>;

/// Requests read from one connection before the first is answered; reading on shows when the
/// caller closes the connection. Only the first is handled: see ServerCore::handle().
constexpr std::size_t pipelinedRequests = 2;
/// Retry-After of a request for which there is no memory.
constexpr auto noMemoryRetryAfterSeconds = "1";
/// From one request to the last byte of the next. The silence within is limited by HttpInputLimits.
constexpr auto longestRequestTime = std::chrono::hours(24);
constexpr auto timeoutCheckPeriod = std::chrono::milliseconds(250);

auto reasonPhrase(std::uint16_t status) -> std::string
{
    using Phrase = std::pair<std::uint16_t, const char *>;
    static constexpr auto phrases = std::array{Phrase{200, "OK"},
                                               Phrase{201, "Created"},
                                               Phrase{202, "Accepted"},
                                               Phrase{204, "No Content"},
                                               Phrase{400, "Bad Request"},
                                               Phrase{401, "Unauthorized"},
                                               Phrase{403, "Forbidden"},
                                               Phrase{404, "Not Found"},
                                               Phrase{405, "Method Not Allowed"},
                                               Phrase{408, "Request Timeout"},
                                               Phrase{409, "Conflict"},
                                               Phrase{413, "Content Too Large"},
                                               Phrase{422, "Unprocessable Content"},
                                               Phrase{429, "Too Many Requests"},
                                               Phrase{431, "Request Header Fields Too Large"},
                                               Phrase{500, "Internal Server Error"},
                                               Phrase{502, "Bad Gateway"},
                                               Phrase{503, "Service Unavailable"},
                                               Phrase{504, "Gateway Timeout"}};
    for (const auto &[candidate, phrase] : phrases) {
        if (candidate == status)
            return phrase;
    }
    return "Status";
}

auto statusLine(std::uint16_t status) -> restinio::http_status_line_t
{
    return {restinio::http_status_code_t(status), reasonPhrase(status)};
}

/// Whether the server writes the header field itself.
auto isFramingHeader(const HttpHeader &header) -> bool
{
    const auto one = HttpHeaders{header};
    return one.find("Content-Length") || one.find("Transfer-Encoding") || one.find("Connection");
}

template <typename Builder>
auto appendHeaders(Builder &builder, const HttpHeaders &headers) -> void
{
    for (const auto &header : headers.all()) {
        if (!isFramingHeader(header))
            builder.append_header(header.name_, header.value_);
    }
}

/// The number of the last request that was read from a connection.
using LastRequest = std::atomic<std::uint64_t>;

/// Runs the operations of one reply in order, one at a time.
class ReplyCore : public std::enable_shared_from_this<ReplyCore>
{
public:
    /// Called when a response is complete, with whether others may follow it on the connection.
    using Ended = std::function<void(bool isConnectionKept)>;

    /// Reads \a lastRequest as the number of \a request. Counts what the response holds in
    /// \a usage.
    ReplyCore(asio::io_context &context, restinio::request_handle_t request,
              std::shared_ptr<HookGate> gate, std::shared_ptr<const LastRequest> lastRequest,
              std::shared_ptr<ConnectionUsage> usage, Ended ended)
        : strand_(asio::make_strand(context))
        , request_(std::move(request))
        , connection_(restinio::impl::access_req_connection(*request_))
        , gate_(std::move(gate))
        , number_(*lastRequest)
        , lastRequest_(std::move(lastRequest))
        , remote_(fmt::format("{}", fmt::streamed(request_->remote_endpoint())))
        , usage_(std::move(usage))
        , openRequest_(usage_->beginResponse())
        , ended_(std::move(ended))
    { }

    /// Queues \a operation, which gets this object.
    template <typename Operation>
    auto queue(Operation operation) -> void
    {
        asio::post(strand_,
                   [self = shared_from_this(), operation = std::move(operation)]() mutable {
                       operation(*self);
                   });
    }

    auto send(HttpResponse response, bool close) -> void
    {
        if (done_ || stream_)
            return;
        const auto isHead = request_->header().method() == restinio::http_method_head();
        auto builder = request_->create_response<restinio::restinio_controlled_output_t>(
            statusLine(response.status_));
        isConnectionKept_ = !isHead && !close && !closesBehind(response.headers_);
        appendHeaders(builder, response.headers_);
        auto held = usage_->holdOutput(response.body_.size());
        if (!isHead)
            builder.set_body(std::move(response.body_));
        if (!isConnectionKept_)
            builder.connection_close();
        builder.done([held = std::move(held)](const std::error_code &) {});
        release();
    }

    auto begin(HttpResponse head) -> void
    {
        if (done_ || stream_)
            return;
        stream_.emplace(
            request_->create_response<restinio::chunked_output_t>(statusLine(head.status_)));
        isConnectionKept_ = !closesBehind(head.headers_);
        if (!isConnectionKept_)
            stream_->connection_close();
        appendHeaders(*stream_, head.headers_);
        auto held = usage_->holdOutput(head.body_.size());
        if (!head.body_.empty())
            stream_->append_chunk(std::move(head.body_));
        stream_->flush([held = std::move(held)](const std::error_code &) {});
    }

    auto write(std::string part, HttpReply::Written written) -> void
    {
        if (done_ || !stream_) {
            tell(written, std::make_error_code(std::errc::not_connected));
            return;
        }
        auto held = usage_->holdOutput(part.size());
        if (!part.empty())
            stream_->append_chunk(std::move(part));
        stream_->flush(
            [self = shared_from_this(), written = std::move(written),
             held = std::move(held)](const std::error_code &error) { self->tell(written, error); });
    }

    auto finish() -> void
    {
        if (done_ || !stream_)
            return;
        stream_->done();
        release();
    }

    /// Closes the connection behind what is already written.
    auto abort() -> void
    {
        if (done_)
            return;
        const auto flags = restinio::response_output_flags_t{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close};
        connection_->write_response_parts(request_->request_id(), flags,
                                          restinio::write_group_t{{}});
        isConnectionKept_ = false;
        release();
    }

    [[nodiscard]] auto remoteAddress() const -> const std::string & { return remote_; }

    auto onClosed(std::function<void()> closed) -> void
    {
        if (done_)
            return;
        closed_ = std::move(closed);
        if (isClosed_)
            tellClosed();
    }

    /// The connection is closed.
    auto noteClosed() -> void
    {
        isClosed_ = true;
        if (!done_)
            tellClosed();
    }

private:
    /// Whether no later request waits for its answer on the connection, which closing would cut.
    [[nodiscard]] auto isLast() const -> bool { return number_ == *lastRequest_; }

    /// Whether the connection is closed behind a response with \a headers.
    [[nodiscard]] auto closesBehind(const HttpHeaders &headers) const -> bool
    {
        return isLast() && headers.value("Connection") == "close";
    }

    auto tellClosed() -> void
    {
        if (const auto closed = std::exchange(closed_, nullptr))
            gate_->run(closed);
    }

    auto tell(const HttpReply::Written &written, const std::error_code &error) -> void
    {
        if (written)
            gate_->run([&] { written(error); });
    }

    auto release() -> void
    {
        done_ = true;
        closed_ = nullptr;
        connection_.reset();
        openRequest_.reset();
        if (const auto ended = std::exchange(ended_, nullptr))
            ended(isConnectionKept_);
    }

    asio::strand<asio::io_context::executor_type> strand_;
    restinio::request_handle_t request_;
    restinio::impl::connection_handle_t connection_;
    std::shared_ptr<HookGate> gate_;
    std::uint64_t number_;
    std::shared_ptr<const LastRequest> lastRequest_;
    std::string remote_;
    std::shared_ptr<ConnectionUsage> usage_;
    ConnectionUsage::Hold openRequest_;
    Ended ended_;
    std::optional<ChunkedBuilder> stream_;
    bool isConnectionKept_ = true;
    std::function<void()> closed_;
    bool isClosed_ = false;
    bool done_ = false;
};

/// The reply that handlers hold.
class Reply final : public HttpReply
{
public:
    explicit Reply(std::shared_ptr<ReplyCore> core)
        : core_(std::move(core))
    { }

    ~Reply() override { Reply::abort(); }
    Reply(const Reply &) = delete;
    auto operator=(const Reply &) -> Reply & = delete;

    auto send(HttpResponse response) -> void override
    {
        core_->queue([response = std::move(response)](ReplyCore &core) mutable {
            core.send(std::move(response), false);
        });
    }

    auto begin(HttpResponse head) -> void override
    {
        core_->queue(
            [head = std::move(head)](ReplyCore &core) mutable { core.begin(std::move(head)); });
    }

    auto write(std::string part, Written written) -> void override
    {
        core_->queue(
            [part = std::move(part), written = std::move(written)](ReplyCore &core) mutable {
                core.write(std::move(part), std::move(written));
            });
    }

    auto finish() -> void override
    {
        core_->queue([](ReplyCore &core) { core.finish(); });
    }

    auto abort() -> void override
    {
        core_->queue([](ReplyCore &core) { core.abort(); });
    }

    auto onClosed(std::function<void()> closed) -> void override
    {
        core_->queue([closed = std::move(closed)](ReplyCore &core) mutable {
            core.onClosed(std::move(closed));
        });
    }

    [[nodiscard]] auto remoteAddress() const -> std::string override
    {
        return core_->remoteAddress();
    }

private:
    std::shared_ptr<ReplyCore> core_;
};

/// A request that was read, and the reply to it.
struct ReceivedRequest
{
    restinio::request_handle_t source_;
    HttpBody body_;
    MonotonicTime receivedAt_;
    std::shared_ptr<ReplyCore> reply_;
};

auto toRequest(const ReceivedRequest &received) -> HttpRequest
{
    const auto &source = *received.source_;
    auto request = HttpRequest{};
    request.method_ = source.header().method().c_str();
    request.target_ = source.header().request_target();
    source.header().for_each_field([&](const restinio::http_header_field_t &field) {
        request.headers_.add(field.name(), field.value());
    });
    request.body_ = received.body_;
    request.receivedAt_ = received.receivedAt_;
    return request;
}

auto problemResponse(std::uint16_t status, const std::string &detail, const char *verdict)
    -> HttpResponse
{
    auto body = fmt::format(R"({{"type":"about:blank","title":"{}","status":{},"detail":"{}",)"
                            R"("verdict":"{}"}})",
                            reasonPhrase(status), status, detail, verdict);
    return {status, {{"Content-Type", "application/problem+json"}}, std::move(body)};
}

auto internalError() -> HttpResponse
{
    return problemResponse(500, "the request could not be handled", "may-have-run");
}

auto refusalResponse(HttpRefusal refusal, const HttpInputLimits &limits) -> HttpResponse
{
    switch (refusal) {
    case HttpRefusal::HeadTooLarge:
        return problemResponse(431, fmt::format("the head may have {} bytes", limits.headBytes_),
                               "not-run");
    case HttpRefusal::TooManyFields:
        return problemResponse(
            431, fmt::format("the head may have {} fields", limits.headerFields_), "not-run");
    case HttpRefusal::BodyTooLarge:
        return problemResponse(413, fmt::format("the body may have {} bytes", limits.bodyBytes_),
                               "not-run");
    case HttpRefusal::NoMemory:
        break;
    }
    auto response = problemResponse(
        503, "requests in progress take all memory; send the request again later", "not-run");
    response.headers_.add("Retry-After", noMemoryRetryAfterSeconds);
    return response;
}

/// The part of a server that open connections keep alive.
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler)
        : context_(context)
        , event_(settings.event_)
        , handler_(std::move(handler))
    { }

    /// Handles \a request, or keeps it until the one before it on the connection is answered: that
    /// answer may close the connection, and a request that has run must not lose its answer.
    auto handle(const restinio::request_handle_t &request) -> restinio::request_handling_status_t
    {
        auto &input = *ClientSocket::current();
        auto core = addRequest(request, input.usage());
        if (const auto refusal = input.refusal()) {
            core->send(refusalResponse(*refusal, input.limits()), true);
            return restinio::request_accepted();
        }
        auto received = ReceivedRequest{request, input.takeCompleted(), readMonotonic(), core};
        if (beginOrKeep(received))
            run(received);
        return restinio::request_accepted();
    }

    /// Waits for the handlers that run and closes the answers in progress.
    auto close() -> void
    {
        gate_->close();
        handler_ = nullptr;
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &[id, connection] : connections_)
            queueAll(connection.replies_, [](ReplyCore &core) { core.abort(); });
        connections_.clear();
    }

    /// The connection is closed.
    auto noteClosed(restinio::connection_id_t connection) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = connections_.find(connection);
        if (found == connections_.end())
            return;
        queueAll(found->second.replies_, [](ReplyCore &core) { core.noteClosed(); });
        connections_.erase(found);
    }

private:
    using Replies = std::vector<std::weak_ptr<ReplyCore>>;

    struct OpenConnection
    {
        /// The answers in progress.
        Replies replies_;
        std::shared_ptr<LastRequest> lastRequest_ = std::make_shared<LastRequest>(0);
        /// Whether a request is being handled.
        bool isHandling_ = false;
        /// Requests behind it, in order.
        std::deque<ReceivedRequest> waiting_;
    };

    template <typename Operation>
    static auto queueAll(const Replies &replies, Operation operation) -> void
    {
        for (const auto &weak : replies) {
            if (const auto reply = weak.lock())
                reply->queue(operation);
        }
    }

    /// Whether \a received is to be handled now; else it waits for the requests before it.
    auto beginOrKeep(const ReceivedRequest &received) -> bool
    {
        const auto lock = std::scoped_lock(mutex_);
        auto &connection = connections_[received.source_->connection_id()];
        if (!connection.isHandling_) {
            connection.isHandling_ = true;
            return true;
        }
        connection.waiting_.push_back(received);
        return false;
    }

    auto run(const ReceivedRequest &received) -> void
    {
        if (!gate_->run([&] { callHandler(received); }))
            received.reply_->abort();
    }

    /// A request on \a connection is answered: handles the next one.
    auto noteEnded(restinio::connection_id_t connection, bool isConnectionKept) -> void
    {
        // Destroyed outside the lock.
        auto waiting = std::deque<ReceivedRequest>{};
        auto next = std::optional<ReceivedRequest>{};
        {
            const auto lock = std::scoped_lock(mutex_);
            const auto found = connections_.find(connection);
            if (found == connections_.end())
                return;
            auto &open = found->second;
            // Where the connection is closed, no request that is read later may be handled either.
            if (!isConnectionKept) {
                waiting.swap(open.waiting_);
            } else if (open.waiting_.empty()) {
                open.isHandling_ = false;
            } else {
                next = std::move(open.waiting_.front());
                open.waiting_.pop_front();
            }
        }
        if (next)
            run(*next);
    }

    /// RESTinio would close the connection of a handler that throws, with all answers on it.
    auto callHandler(const ReceivedRequest &received) -> void
    {
        const auto reply = std::make_shared<Reply>(received.reply_);
        try {
            handler_(toRequest(received), reply);
        } catch (const std::exception &error) {
            const auto &header = received.source_->header();
            if (event_)
                event_(Event{EventNumber::HandlerFailed,
                             {{"method", header.method().c_str()},
                              {"path", std::string(header.path())},
                              {"reason", error.what()}}});
            if (reply.use_count() == 1)
                reply->send(internalError());
        }
    }

    auto addRequest(const restinio::request_handle_t &request,
                    const std::shared_ptr<ConnectionUsage> &usage) -> std::shared_ptr<ReplyCore>
    {
        const auto lock = std::scoped_lock(mutex_);
        auto &connection = connections_[request->connection_id()];
        ++*connection.lastRequest_;
        const auto ended
            = [weak = weak_from_this(), id = request->connection_id()](bool isConnectionKept) {
                  if (const auto self = weak.lock())
                      self->noteEnded(id, isConnectionKept);
              };
        auto reply = std::make_shared<ReplyCore>(context_, request, gate_, connection.lastRequest_,
                                                 usage, ended);
        std::erase_if(connection.replies_, [](const auto &weak) { return weak.expired(); });
        connection.replies_.push_back(reply);
        return reply;
    }

    asio::io_context &context_;
    EventSink event_;
    HttpHandler handler_;
    std::shared_ptr<HookGate> gate_ = std::make_shared<HookGate>();
    std::mutex mutex_;
    std::map<restinio::connection_id_t, OpenConnection> connections_;
};

/// Tells a ServerCore of closed connections.
class ClosedListener
{
public:
    explicit ClosedListener(std::weak_ptr<ServerCore> core)
        : core_(std::move(core))
    { }

    /// Called by RESTinio.
    auto state_changed( // NOLINT(readability-identifier-naming)
        const restinio::connection_state::notice_t &notice) noexcept -> void
    {
        if (!std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        if (const auto core = core_.lock())
            core->noteClosed(notice.connection_id());
    }

private:
    std::weak_ptr<ServerCore> core_;
};

struct ServerTraits
    : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                         restinio::details::autodetect_request_handler_type, ClientChannel::Strand,
                         ClientSocket>
{
    using connection_state_listener_t = ClosedListener; // NOLINT(readability-identifier-naming)
};

/// Serves accepted connections. Takes the place of restinio::http_server_t, whose acceptor is not
/// safe to close while one of several workers accepts.
class Connections
{
public:
    using Settings = restinio::server_settings_t<ServerTraits>;

    Connections(asio::io_context &context, Settings settings,
                std::shared_ptr<ConnectionRegistry> registry, HttpInputLimitsSource inputLimits)
        : context_(context)
        , registry_(std::move(registry))
        , inputLimits_(std::move(inputLimits))
        , factory_(shareSettings(context, settings), settings.socket_options_setter())
    { }

    /// Serves the requests on \a socket; one call at a time.
    auto serve(asio::ip::tcp::socket socket) -> void
    {
        auto error = std::error_code{};
        const auto remote = socket.remote_endpoint(error);
        if (!error)
            socket.set_option(asio::ip::tcp::no_delay(true), error);
        if (error) // The caller is gone already.
            return;
        auto channel
            = std::make_shared<ClientChannel>(asio::make_strand(context_), std::move(socket));
        auto usage = registry_->admit([weak = std::weak_ptr(channel)] {
            if (const auto open = weak.lock())
                open->reset();
        });
        if (!usage) // Counted by the registry.
            return;
        channel->setInput(std::make_unique<HttpInput>(std::move(usage), inputLimits_));
        const auto connection = factory_.create_new_connection(ClientSocket(std::move(channel)),
                                                               remote, LifetimeMonitor{nullptr});
        connection->init();
    }

private:
    using Factory = restinio::impl::connection_factory_t<ServerTraits>;
    using SharedSettings = restinio::impl::connection_settings_t<ServerTraits>;
    /// Without a limit on connections it takes a limiter and ignores it.
    using LifetimeMonitor
        = restinio::connection_count_limit_types<ServerTraits>::lifetime_monitor_t;
    using MethodsMapper = ServerTraits::http_methods_mapper_t;

    static auto shareSettings(asio::io_context &context, Settings &settings)
        -> std::shared_ptr<SharedSettings>
    {
        settings.ensure_valid_connection_state_listener();
        return std::make_shared<SharedSettings>(settings,
                                                HttpParserCallbacks<MethodsMapper>::settings(),
                                                settings.timer_factory()->create(context));
    }

    asio::io_context &context_;
    std::shared_ptr<ConnectionRegistry> registry_;
    HttpInputLimitsSource inputLimits_;
    Factory factory_;
};

} // namespace

class HttpServer::Impl
{
public:
    Impl(WorkerPool &workers, HttpServerSettings settings, HttpHandler handler)
        : context_(workers.context())
        , settings_(complete(std::move(settings)))
        , core_(std::make_shared<ServerCore>(context_, settings_, std::move(handler)))
    { }

    ~Impl()
    {
        stopListening();
        core_->close();
    }
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto start() -> std::error_code
    {
        auto error = std::error_code{};
        const auto address = asio::ip::make_address(settings_.address_, error);
        if (error)
            return error;
        const auto lock = std::scoped_lock(mutex_);
        if (listener_)
            listener_->close();
        auto connections = std::make_shared<Connections>(
            context_, connectionSettings(), settings_.connections_, settings_.inputLimits_);
        listener_ = std::make_shared<TcpListener>(
            context_, [connections = std::move(connections)](asio::ip::tcp::socket socket) {
                connections->serve(std::move(socket));
            });
        error = listener_->listen({address, settings_.port_},
                                  settings_.connections_->limits().receiveBufferBytes_);
        port_ = listener_->port();
        return {error.value(), std::system_category()};
    }

    auto stopListening() -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        if (listener_)
            listener_->close();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

private:
    static auto complete(HttpServerSettings settings) -> HttpServerSettings
    {
        if (!settings.connections_)
            settings.connections_
                = std::make_shared<ConnectionRegistry>(ConnectionLimits{}, settings.event_);
        if (!settings.inputLimits_)
            settings.inputLimits_ = [] { return HttpInputLimits{}; };
        return settings;
    }

    auto connectionSettings() -> Connections::Settings
    {
        auto result = Connections::Settings{};
        result.max_pipelined_requests(pipelinedRequests)
            .timer_manager(timeoutCheckPeriod)
            .read_next_http_message_timelimit(longestRequestTime)
            .write_http_response_timelimit(settings_.writeTimeout_)
            .handle_request_timeout(settings_.handleTimeout_)
            .connection_state_listener(std::make_shared<ClosedListener>(core_))
            .request_handler([core = core_](const restinio::request_handle_t &request) {
                return core->handle(request);
            });
        return result;
    }

    asio::io_context &context_;
    HttpServerSettings settings_;
    std::shared_ptr<ServerCore> core_;
    std::mutex mutex_;
    std::shared_ptr<TcpListener> listener_;
    std::atomic<std::uint16_t> port_ = 0;
};

HttpServer::HttpServer(WorkerPool &workers, HttpServerSettings settings, HttpHandler handler)
    : impl_(std::make_unique<Impl>(workers, std::move(settings), std::move(handler)))
{ }

HttpServer::~HttpServer() = default;

auto HttpServer::start() -> std::error_code
{
    return impl_->start();
}

auto HttpServer::stopListening() -> void
{
    impl_->stopListening();
}

auto HttpServer::port() const -> std::uint16_t
{
    return impl_->port();
}

} // namespace lycheereach
