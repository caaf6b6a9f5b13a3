#include "standins/StandinService.h"

#include <utility>

namespace lycheereach {

namespace {

auto jsonAnswer(const HttpRequest &request, const Json &body) -> HttpResponse
{
    auto answer = HttpResponse{200, {{"Content-Type", "application/json"}}, body.dump()};
    for (const auto *name : {"X-Request-Id", "X-Attempt-Id"})
        answer.headers_.add(name, request.headers_.value(name));
    return answer;
}

auto microsecondsNow() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

StandinService::StandinService(StandinBookings &bookings, StandinServiceSettings settings)
    : bookings_(bookings)
    , settings_(std::move(settings))
    , announcer_(std::make_shared<Announcer>(bookings.workers_, bookings.client_,
                                             bookings.announcer_, [this] { return describe(); }))
{ }

StandinService::~StandinService()
{
    announcer_->stop();
    server_.reset();
}

auto StandinService::start() -> std::error_code
{
    if (const auto error = openServer())
        return error;
    restart();
    return {};
}

auto StandinService::openServer() -> std::error_code
{
    const auto colon = settings_.address_.rfind(':');
    auto http = HttpServerSettings{};
    http.address_ = settings_.address_.substr(0, colon);
    http.port_ = static_cast<std::uint16_t>(std::stoul(settings_.address_.substr(colon + 1)));
    server_.reset();
    server_ = std::make_unique<HttpServer>(
        bookings_.workers_, http,
        [this](const HttpRequest &request, const Reply &reply) { handle(request, reply); });
    const auto error = server_->start();
    settings_.address_ = http.address_ + ":" + std::to_string(server_->port());
    return error;
}

auto StandinService::handle(const HttpRequest &request, const Reply &reply) -> void
{
    const auto lock = std::scoped_lock(bookings_.mutex_);
    if (!alive_)
        return;
    if (request.target_ == "/bookings" && request.method_ == "POST")
        book(request, reply);
    else if (request.target_ == "/bookings" && request.method_ == "GET")
        reply->send(jsonAnswer(request, {{"runs", bookings_.runs_}}));
    else
        reply->send(
            {static_cast<std::uint16_t>(request.target_ == "/healthz" ? 200 : 404), {}, ""});
}

auto StandinService::book(const HttpRequest &request, const Reply &reply) -> void
{
    const auto key = request.headers_.value("Idempotency-Key");
    const auto runs = ++bookings_.runs_[key];
    bookings_.record_.add({{"event", "booking"},
                           {"upstream", settings_.upstream_},
                           {"key", key},
                           {"runs", runs},
                           {"request", request.headers_.value("X-Request-Id")},
                           {"attempt", request.headers_.value("X-Attempt-Id")}});
    ++running_;
    const auto lost = loseAnswers_ > 0;
    loseAnswers_ -= lost ? 1 : 0;
    auto answer
        = jsonAnswer(request, {{"booked", key}, {"runs", runs}, {"echo", request.body_.text()}});
    auto timer = std::make_shared<std::shared_ptr<Timer>>();
    *timer = bookings_.workers_.after(
        std::chrono::milliseconds(settings_.runMs_),
        [this, timer, reply, lost, answer = std::move(answer)]() mutable {
            const auto lock = std::scoped_lock(bookings_.mutex_);
            --running_;
            if (lost)
                reply->abort();
            else if (alive_)
                reply->send(std::move(answer));
        });
}

auto StandinService::apply(const StandinServiceFault &fault) -> void
{
    const auto lock = std::scoped_lock(bookings_.mutex_);
    if (fault.kind_ == "lose-answer")
        loseAnswers_ = fault.count_;
    else if (fault.kind_ == "slow")
        settings_.runMs_ = fault.runMs_;
    else if (fault.kind_ == "restart")
        bookings_.workers_.post([this] { restart(); });
    if (fault.kind_ != "die")
        return;
    alive_ = false;
    server_->stopListening();
}

auto StandinService::restart() -> void
{
    const auto wasDead = [this] {
        const auto lock = std::scoped_lock(bookings_.mutex_);
        return !alive_;
    }();
    if (wasDead && openServer())
        return;
    {
        const auto lock = std::scoped_lock(bookings_.mutex_);
        alive_ = true;
        incarnation_ = microsecondsNow();
        sequence_ = 0;
    }
    announcer_->announce();
}

auto StandinService::describe() -> std::optional<Announcement>
{
    const auto lock = std::scoped_lock(bookings_.mutex_);
    if (!alive_)
        return std::nullopt;
    auto said = Announcement{};
    said.upstream_ = UpstreamId(settings_.upstream_);
    said.incarnation_ = incarnation_;
    said.sequence_ = ++sequence_;
    said.address_ = settings_.address_;
    said.zone_ = ZoneName(settings_.zone_);
    said.pool_ = PoolName(settings_.service_);
    said.kind_ = UpstreamKind::Service;
    said.cold_ = false;
    said.carries_ = settings_.carries_;
    said.phase_ = MemberPhase::Ready;
    said.running_ = running_;
    return said;
}

} // namespace lycheereach
